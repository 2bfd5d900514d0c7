/* Guards against a daemon that does not stop on signals, serves plain HTTP on
 * its TLS port or runs out of descriptors, and wrong exit codes of
 * toucanscalectl. Stubs replace the core and the I/O services. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ctl.h"
#include "daemon.h"
#include "database.h"
#include "descriptors.h"
#include "peer.h"
#include "store.h"
#include "support/process.h"

#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Self-signed for 127.0.0.1 and valid until 2126; used by this test only. */
#define TLS_CERT TOU_TEST_DIR "/data/tls-cert.pem"
#define TLS_KEY TOU_TEST_DIR "/data/tls-key.pem"

struct TouCore
{
  int unused;
};

static TouCore stub_core;

/* Whether the stub core completes a drain. */
static atomic_bool core_completes_drain;

/* Number of DRAIN events passed to the stub core. */
static atomic_uint drain_events;

int
tou_core_create (TouCore **out, const TouCoreSettings *settings, guint64 now_us,
                 guint64 seed)
{
  (void)settings;
  (void)now_us;
  (void)seed;
  *out = &stub_core;
  return TOU_OK;
}

static void
answer_text (TouActionList *actions, const TouEvent *event)
{
  TouAction *action = tou_action_list_add (actions, TOU_ACTION_TEXT_REPLY);

  action->u.text_reply.caller = event->u.query.caller;
  tou_str_init_c (&action->u.text_reply.text, "{\"config\":[]}");
}

static void
answer_change (TouActionList *actions, const TouEvent *event)
{
  TouAction *action = tou_action_list_add (actions, TOU_ACTION_CONFIG_REPLY);

  action->u.config_reply.caller = event->u.config_change.caller;
  if (event->u.config_change.change.expected_revision > 0)
    action->u.config_reply.code = TOU_E_CONFLICT;
}

int
tou_core_step (TouCore *core, guint64 now_us, TouEvent *event,
               TouActionList *actions)
{
  (void)core;
  (void)now_us;
  if (event->type == TOU_EVENT_DUMP || event->type == TOU_EVENT_METRICS)
    answer_text (actions, event);
  else if (event->type == TOU_EVENT_CONFIG_CHANGE)
    answer_change (actions, event);
  else if (event->type == TOU_EVENT_DRAIN)
    {
      atomic_fetch_add (&drain_events, 1);
      if (atomic_load (&core_completes_drain))
        tou_action_list_add (actions, TOU_ACTION_DRAINED);
    }
  tou_event_clear (event);
  return TOU_OK;
}

guint64
tou_core_next_tick (const TouCore *core)
{
  (void)core;
  return G_MAXUINT64;
}

void
tou_core_destroy (TouCore *core)
{
  (void)core;
}

/* Defines a service that accepts all actions and does nothing. */
#define STUB_SERVICE(type, settings_type, prefix)                              \
  int prefix##_create (type **out, const settings_type *settings,              \
                       TouEventSink sink)                                      \
  {                                                                            \
    (void)settings;                                                            \
    (void)sink;                                                                \
    *out = NULL;                                                               \
    return TOU_OK;                                                             \
  }                                                                            \
  int prefix##_submit (gpointer service, TouAction *action)                    \
  {                                                                            \
    (void)service;                                                             \
    tou_action_clear (action);                                                 \
    return TOU_OK;                                                             \
  }                                                                            \
  void prefix##_destroy (type *service)                                        \
  {                                                                            \
    (void)service;                                                             \
  }

STUB_SERVICE (TouDatabase, TouDatabaseSettings, tou_database)
STUB_SERVICE (TouPeer, TouPeerSettings, tou_peer)
STUB_SERVICE (TouStoreClient, TouStoreSettings, tou_store)

void
tou_peer_counters (TouPeer *peer, TouPeerCounters *out)
{
  (void)peer;
  *out = (TouPeerCounters){ .key_refused = 11, .core_full = 12 };
}

/* Returns "127.0.0.1:PORT" with an unused port. */
static char *
free_address (void)
{
  return g_strdup_printf ("127.0.0.1:%d", tou_process_free_port ());
}

typedef struct
{
  TouSettings *settings;
  TouDaemon *daemon;
  int signals;
  char *url;
} Fixture;

/* Creates a daemon, with HTTPS if @a tls. */
static int
create_daemon (void **state, gboolean tls)
{
  Fixture *f = g_new0 (Fixture, 1);
  char *callers = free_address ();
  char *operators = free_address ();
  char *argv[] = { (char *)"toucanscaled",
                   g_strconcat ("--callers-listen=", callers, NULL),
                   g_strconcat ("--operators-listen=", operators, NULL),
                   (char *)"--tls-cert-file=" TLS_CERT,
                   (char *)"--tls-key-file=" TLS_KEY,
                   NULL };
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGHUP);
  f->signals = signalfd (-1, &set, SFD_NONBLOCK);
  assert_int_equal (tou_settings_create (&f->settings, tls ? 5 : 3, argv),
                    TOU_OK);
  assert_int_equal (tou_daemon_create (&f->daemon, f->settings), TOU_OK);
  f->url = g_strconcat (tls ? "https://" : "http://", operators, NULL);
  atomic_store (&drain_events, 0);
  g_free (argv[1]);
  g_free (argv[2]);
  g_free (callers);
  g_free (operators);
  *state = f;
  return 0;
}

static int
setup (void **state)
{
  return create_daemon (state, FALSE);
}

static int
setup_tls (void **state)
{
  return create_daemon (state, TRUE);
}

static int
teardown (void **state)
{
  Fixture *f = *state;

  tou_daemon_destroy (f->daemon);
  tou_settings_destroy (f->settings);
  close (f->signals);
  g_free (f->url);
  g_free (f);
  return 0;
}

/* The daemon must exit when its drain is complete, or rolling restarts would
   hang. */
static void
test_first_signal_drains (void **state)
{
  Fixture *f = *state;

  atomic_store (&core_completes_drain, TRUE);
  /* SIGHUP, the usual signal for a reload, must neither end the process nor
     count as the first stop signal; SIGTERM would then stop without a drain. */
  kill (getpid (), SIGHUP);
  kill (getpid (), SIGTERM);
  assert_int_equal (tou_daemon_run (f->daemon, f->signals), TOU_OK);
  assert_int_equal (atomic_load (&drain_events), 1);
}

/* Sends the second signal after the core has received the DRAIN event of the
   first. */
static void *
send_second_signal (void *unused)
{
  (void)unused;
  while (atomic_load (&drain_events) == 0)
    g_usleep (TOU_US_PER_MS);
  kill (getpid (), SIGTERM);
  return NULL;
}

/* Operators must be able to stop a daemon whose drain hangs. */
static void
test_second_signal_stops_at_once (void **state)
{
  Fixture *f = *state;
  pthread_t thread;

  atomic_store (&core_completes_drain, FALSE);
  assert_int_equal (pthread_create (&thread, NULL, send_second_signal, NULL),
                    0);
  kill (getpid (), SIGTERM);
  assert_int_equal (tou_daemon_run (f->daemon, f->signals), TOU_OK);
  pthread_join (thread, NULL);
}

static int
run_ctl (const Fixture *f, const char *token, const char *const *args,
         const char *value, guint64 revision)
{
  TouCtlOptions options = { .url = f->url,
                            .ca_file = TLS_CERT,
                            .token = token,
                            .author = "me",
                            .expected_revision = revision,
                            .timeout_ms = 10000,
                            .json = value == NULL,
                            .value = value };

  for (guint i = 0; args[i] != NULL; i++)
    options.args[options.n_args++] = args[i];
  return tou_ctl_run (&options);
}

/* Scripts depend on the exit codes of toucanscalectl. */
static void
test_ctl_exit_codes (void **state)
{
  static const char *const health[] = { "health", NULL };
  static const char *const ready[] = { "ready", NULL };
  static const char *const metrics[] = { "metrics", NULL };
  static const char *const list[] = { "config", "list", NULL };
  static const char *const get[] = { "config", "get", "group", "a", NULL };
  static const char *const set[] = { "config", "set", "group", "a", NULL };
  Fixture *f = *state;
  Fixture unreachable = { .url = free_address () };
  char *address = unreachable.url;

  assert_int_equal (run_ctl (f, "operator", health, NULL, 0), TOU_CTL_OK);
  assert_int_equal (run_ctl (f, "wrong", health, NULL, 0), TOU_CTL_REFUSED);
  assert_int_equal (run_ctl (f, "operator", ready, NULL, 0), TOU_CTL_NOT_READY);
  assert_int_equal (run_ctl (f, "operator", metrics, NULL, 0), TOU_CTL_OK);
  assert_int_equal (run_ctl (f, "operator", list, NULL, 0), TOU_CTL_OK);
  assert_int_equal (run_ctl (f, "operator", get, NULL, 0), TOU_CTL_NOT_FOUND);
  assert_int_equal (run_ctl (f, "operator", set, "{}", 0), TOU_CTL_OK);
  assert_int_equal (run_ctl (f, "operator", set, "{}", 4), TOU_CTL_CONFLICT);
  unreachable.url = g_strconcat ("http://", address, NULL);
  assert_int_equal (run_ctl (&unreachable, "operator", set, "{}", 0),
                    TOU_CTL_UNREACHABLE);
  g_free (unreachable.url);
  g_free (address);
}

/* Without the exported counters, operators could not see that proxies are
   refused. */
static void
test_peer_counters_are_exported (void **state)
{
  const Fixture *f = *state;
  TouCtlOptions options
      = { .url = f->url, .token = "operator", .timeout_ms = 10000 };
  TouCtlCall call = { .method = "GET", .path = (char *)"/metrics" };

  assert_int_equal (tou_ctl_send (&call, &options), TOU_OK);
  assert_non_null (strstr (call.response.data, "_peer_key_refused_total 11\n"));
  assert_non_null (strstr (call.response.data, "_peer_core_full_total 12\n"));
  tou_str_clear (&call.response);
}

/* Tokens must not cross the network in plain text when TLS is configured. */
static void
test_tls_port_refuses_plain_http (void **state)
{
  static const char *const health[] = { "health", NULL };
  Fixture *f = *state;
  Fixture plain
      = { .url = g_strconcat ("http", f->url + strlen ("https"), NULL) };

  assert_int_equal (run_ctl (f, "operator", health, NULL, 0), TOU_CTL_OK);
  assert_int_equal (run_ctl (&plain, "operator", health, NULL, 0),
                    TOU_CTL_UNREACHABLE);
  g_free (plain.url);
}

/* Client connections must not use up the descriptors that connections to
   databases and peers need. */
static void
test_descriptor_limit_is_raised_or_reported (void **state)
{
  TouSettings settings = { .max_connections = 1 };
  guint64 needed = tou_descriptors_needed (&settings);
  struct rlimit limit = { 256, needed };

  (void)state;
  assert_int_equal (setrlimit (RLIMIT_NOFILE, &limit), 0);
  assert_int_equal (tou_descriptors_raise_limit (&settings), TOU_OK);
  assert_int_equal (getrlimit (RLIMIT_NOFILE, &limit), 0);
  assert_int_equal (limit.rlim_cur, needed);
  settings.max_connections = 2;
  assert_int_equal (tou_descriptors_raise_limit (&settings),
                    TOU_E_SETTING_INVALID);
  assert_non_null (strstr (tou_status_message (), "--max-connections=2"));
}

#define DAEMON_TEST(name)                                                      \
  cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    DAEMON_TEST (test_first_signal_drains),
    DAEMON_TEST (test_second_signal_stops_at_once),
    DAEMON_TEST (test_ctl_exit_codes),
    DAEMON_TEST (test_peer_counters_are_exported),
    cmocka_unit_test_setup_teardown (test_tls_port_refuses_plain_http,
                                     setup_tls, teardown),
    /* Last: the hard limit cannot be raised again. */
    cmocka_unit_test (test_descriptor_limit_is_raised_or_reported),
  };
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  g_setenv ("TOUCANSCALE_NODE", "vm-1", TRUE);
  g_setenv ("TOUCANSCALE_REGION", "r", TRUE);
  g_setenv ("TOUCANSCALE_FAILURE_DOMAIN", "d", TRUE);
  g_setenv ("TOUCANSCALE_STORE_URL", "http://127.0.0.1:1", TRUE);
  g_setenv ("TOUCANSCALE_OPERATOR_TOKEN", "operator", TRUE);
  g_setenv ("TOUCANSCALE_SESSION_KEY",
            "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
            TRUE);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
