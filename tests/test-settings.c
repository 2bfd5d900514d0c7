/* Guards against invalid settings that are accepted, secrets that are printed,
 * and defaults that differ from the documented ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "settings-table.h"

#include <string.h>

#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

/* Parses the required flags and up to two further ones. */
static int
parse (TouSettings **out, const char *first, const char *second)
{
  const char *argv[] = { "toucanscaled",
                         "--node=vm-1",
                         "--region=r",
                         "--failure-domain=d",
                         "--operator-token=secret",
                         "--store-url=http://127.0.0.1:2379",
                         first,
                         second,
                         NULL };
  int argc = 6 + (first != NULL) + (second != NULL);

  return tou_settings_create (out, argc, (char **)argv);
}

/* A default that differs from the design would change failover times without
   notice. */
static void
test_defaults_match_the_design (void **state)
{
  TouSettings *settings;

  (void)state;
  assert_int_equal (parse (&settings, NULL, NULL), TOU_OK);
  assert_int_equal (settings->core.suspect_after_us, 400 * TOU_US_PER_MS);
  assert_int_equal (settings->core.gate_candidates, 8);
  assert_int_equal (settings->token_keys.n_keys, 1);
  assert_int_equal (settings->token_keys.keys[0][31], 0x1f);
  assert_string_equal (settings->core.peer_address.data, "127.0.0.1:8082");
  tou_settings_destroy (settings);
}

/* If the daemon's defaults differed from the core's, its failovers would differ
   from those that the scripts test. */
static void
test_defaults_match_the_core (void **state)
{
  TouSettings *settings;
  TouCoreSettings core;

  (void)state;
  assert_int_equal (parse (&settings, NULL, NULL), TOU_OK);
  tou_core_settings_init (&core);
  core.node = settings->core.node;
  core.region = settings->core.region;
  core.failure_domain = settings->core.failure_domain;
  core.peer_address = settings->core.peer_address;
  assert_memory_equal (&core, &settings->core, sizeof core);
  tou_settings_destroy (settings);
}

/* Every number must be refused just outside its range, and the error must
   name flag, value and range. */
static void
test_numbers_out_of_range_are_refused (void **state)
{
  (void)state;
  for (guint i = 0; i < tou_settings_count; i++)
    {
      const TouSetting *setting = &tou_settings_table[i];
      TouSettings *settings;
      char *value;
      char *flag;
      char *range;

      if (setting->type != TOU_SETTING_MS && setting->type != TOU_SETTING_UINT
          && setting->type != TOU_SETTING_BYTES
          && setting->type != TOU_SETTING_BYTES32)
        continue;
      value = g_strdup_printf ("%" G_GUINT64_FORMAT, setting->max + 1);
      flag = g_strdup_printf ("--%s=%s", setting->flag, value);
      range = tou_setting_range (setting);
      assert_int_equal (parse (&settings, flag, NULL), TOU_E_SETTING_INVALID);
      assert_non_null (strstr (tou_status_message (), setting->flag));
      assert_non_null (strstr (tou_status_message (), value));
      assert_non_null (strstr (tou_status_message (), range));
      g_free (value);
      g_free (flag);
      g_free (range);
    }
}

/* If the largest result did not fit into a message, forwarded reads with such a
   result would end with the outcome unknown. */
static void
test_max_message_must_hold_a_result (void **state)
{
  TouSettings *settings;

  (void)state;
  assert_int_equal (parse (&settings, "--max-message=1114111", NULL),
                    TOU_E_SETTING_INVALID);
  assert_string_equal (tou_status_message (),
                       "--max-message: value \"1114111\" is not permitted: "
                       "1114112 to 268435456 bytes");
  assert_int_equal (parse (&settings, "--max-message=1114112", NULL), TOU_OK);
  tou_settings_destroy (settings);
}

/* Malformed values must not be passed to the services. */
static void
test_malformed_values_are_refused (void **state)
{
  static const char *const flags[] = { "--node=",
                                       "--node=a b",
                                       "--callers-listen=127.0.0.1",
                                       "--callers-listen=localhost:80",
                                       "--callers-listen=127.0.0.1:0",
                                       "--seeds=127.0.0.1:1,",
                                       "--store-url=ftp://x",
                                       "--tls-cert-file=/nonexistent",
                                       "--tls-key-file=/dev/null",
                                       "--curve-public-key=short",
                                       "--curve-accepted-keys=",
                                       "--session-key-previous=00",
                                       "--log-level=loud",
                                       "--ping-interval=-1",
                                       "--ping-interval=1e3",
                                       "--ping-timeout=200",
                                       "--suspect-after=150",
                                       "--claim-timeout=50",
                                       "--max-body=1024",
                                       "--peers-listen=0.0.0.0:8082" };

  (void)state;
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      TouSettings *settings;

      assert_int_equal (parse (&settings, flags[i], NULL),
                        TOU_E_SETTING_INVALID);
    }
}

/* Error messages are logged and must not contain secrets. */
static void
test_secrets_are_hidden (void **state)
{
  TouSettings *settings;

  (void)state;
  assert_int_equal (parse (&settings, "--session-key=deadbeef", NULL),
                    TOU_E_SETTING_INVALID);
  assert_null (strstr (tou_status_message (), "deadbeef"));
}

/* A CURVE key may start with '@', which in other settings marks a file name. */
static void
test_key_may_start_with_an_at_sign (void **state)
{
  static const char public_key[]
      = "--curve-public-key=@rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf";
  static const char secret_key[]
      = "--curve-secret-key=D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs";
  TouSettings *settings;

  (void)state;
  assert_int_equal (parse (&settings, public_key, secret_key), TOU_OK);
  assert_int_equal (settings->curve_public_key[0], '@');
  tou_settings_destroy (settings);
}

/* Flags take precedence over the environment, and the environment over
   defaults. */
static void
test_flags_override_the_environment (void **state)
{
  TouSettings *settings;

  (void)state;
  g_setenv ("TOUCANSCALE_QUEUE_LIMIT", "7", TRUE);
  assert_int_equal (parse (&settings, NULL, NULL), TOU_OK);
  assert_int_equal (settings->core.queue_limit, 7);
  tou_settings_destroy (settings);
  assert_int_equal (parse (&settings, "--queue-limit=8", "--check-config"),
                    TOU_OK);
  assert_int_equal (settings->core.queue_limit, 8);
  assert_int_equal (settings->mode, TOU_SETTINGS_CHECK_CONFIG);
  tou_settings_destroy (settings);
  g_unsetenv ("TOUCANSCALE_QUEUE_LIMIT");
}

/* The daemon must not start with an empty value for a required setting. */
static void
test_missing_required_setting_is_refused (void **state)
{
  char *argv[] = { (char *)"toucanscaled", NULL };
  TouSettings *settings;

  (void)state;
  assert_int_equal (tou_settings_create (&settings, 1, argv),
                    TOU_E_SETTING_INVALID);
  assert_non_null (strstr (tou_status_message (), "TOUCANSCALE_NODE"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_defaults_match_the_design),
    cmocka_unit_test (test_defaults_match_the_core),
    cmocka_unit_test (test_numbers_out_of_range_are_refused),
    cmocka_unit_test (test_max_message_must_hold_a_result),
    cmocka_unit_test (test_malformed_values_are_refused),
    cmocka_unit_test (test_secrets_are_hidden),
    cmocka_unit_test (test_key_may_start_with_an_at_sign),
    cmocka_unit_test (test_flags_override_the_environment),
    cmocka_unit_test (test_missing_required_setting_is_refused),
  };

  g_setenv ("TOUCANSCALE_SESSION_KEY", KEY, TRUE);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
