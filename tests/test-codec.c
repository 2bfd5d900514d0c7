/* Guards against fields that are lost or changed in a message between proxies,
 * and malformed or oversized messages that are accepted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "codec.h"

#include <jansson.h>
#include <string.h>

/* Size limit of the decoder in these tests, in bytes. */
#define TEST_MAX_LEN 65536

#define HEAD(type)                                                             \
  "{'version':1,'type':" #type ",'from':'vm1','incarnation':7,'body':"
#define PING(type)                                                             \
  HEAD (type)                                                                  \
  "{'sequence':1,'target':'vm4','feed_revision':9223372036854775807,"          \
  "'updates':[{'name':'vm5','address':'10.0.0.1:1','region':'Da Nang',"        \
  "'domain':'d2','state':2,'incarnation':3}]}}"
#define ID(node) "{'node':'" node "','incarnation':7,'sequence':9}"
#define POS "'pos':{'term':3,'position':41}"
#define SESSION                                                                \
  "'session':{'overflow':true,'entries':[{'group':'trench'," POS "}]}"

/* One message of each type, in the order of TouMessageType, every field set
   to a value other than its default; ' stands for ". */
static const char *const samples[TOU_MESSAGE_COUNT] = {
  PING (0),
  PING (1),
  PING (2),
  HEAD (3) "{'id':" ID ("vm1") ",'kind':2,'group':'trench','txn':" ID (
      "vm2") ",'rank':1,'mode':2,'max_age_us':250000,'deadline_us':1000000,"
             "'idempotency_key':'key-1'," SESSION ",'statement':{'sql':'select "
             "$1, $2, $3','params':[null,'','a\\u0000b']}}}",
  HEAD (4) "{'id':" ID (
      "vm1") ",'code':402,'outcome':2,'replayed':true,'role':2,'group':'trench'"
             ",'endpoint':"
             "'db2','gate':'vm3'," POS ",'txn':" ID (
                 "vm2") ",'retry_after_us':6,'message':'detail','result':"
                        "'{}'," SESSION "}}",
  HEAD (5) ID ("vm1") "}",
  HEAD (6) "{'group':'trench','term':4,'suspected':true}}",
  HEAD (7) "{'from':3,'to':9,'entries':[{'key':'config/a','value':'{}',"
           "'revision':9},{'key':'b','value':null,'revision':8}]}}",
  HEAD (8) "{'after':17}}",
  HEAD (9) "{'vms':[{'name':'vm8','address':'127.0.0.1:5','region':'Hanoi',"
           "'domain':'h1','state':1}]}}",
};

/* How pack_json () changes a sample. */
typedef struct
{
  int countdown;  /* number of the value to pack as a float, which no field
                     accepts */
  gboolean extra; /* adds an unknown field to every map */
} Change;

static void
pack_json (msgpack_packer *packer, json_t *value, Change *change)
{
  json_t *item;
  const char *key;
  size_t i;

  if (change->countdown-- == 0)
    msgpack_pack_float (packer, 1.5F);
  else if (json_is_object (value))
    {
      msgpack_pack_map (packer, json_object_size (value) + !!change->extra);
      if (change->extra)
        msgpack_pack_str_with_body (packer, "x", 1), msgpack_pack_nil (packer);
      json_object_foreach (value, key, item)
      {
        msgpack_pack_str_with_body (packer, key, strlen (key));
        pack_json (packer, item, change);
      }
    }
  else if (json_is_array (value))
    {
      msgpack_pack_array (packer, json_array_size (value));
      json_array_foreach (value, i, item) pack_json (packer, item, change);
    }
  else if (json_is_string (value))
    msgpack_pack_str_with_body (packer, json_string_value (value),
                                json_string_length (value));
  else if (json_is_integer (value))
    msgpack_pack_uint64 (packer, (guint64)json_integer_value (value));
  else if (json_is_null (value))
    msgpack_pack_nil (packer);
  else
    msgpack_pack_true (packer);
}

/* Packs JSON text; returns FALSE if the text has too few values for
   change->countdown. */
static gboolean
pack_text (msgpack_sbuffer *out, const char *text, Change change)
{
  char *quoted = g_strdelimit (g_strdup (text), "'", '"');
  json_t *value = json_loads (quoted, JSON_ALLOW_NUL, NULL);
  msgpack_packer packer;

  assert_non_null (value);
  msgpack_sbuffer_init (out);
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  pack_json (&packer, value, &change);
  json_decref (value);
  g_free (quoted);
  return change.countdown < 0;
}

static int
decode_status (const char *data, gsize len)
{
  TouMessage *message = NULL;
  int status = tou_message_decode (&message, data, len, TEST_MAX_LEN);

  tou_message_destroy (message);
  return status;
}

/* Packs JSON text with @a change and returns the status of decoding it. */
static int
text_status (const char *text, Change change)
{
  msgpack_sbuffer packed;
  int status;

  pack_text (&packed, text, change);
  status = decode_status (packed.data, packed.size);
  msgpack_sbuffer_destroy (&packed);
  return status;
}

/* A field lost in encoding or decoding would change the meaning of a request;
   NULL and empty parameters differ in SQL. */
static void
test_round_trip_keeps_every_field (void **state)
{
  (void)state;
  for (guint type = 0; type < TOU_MESSAGE_COUNT; type++)
    {
      msgpack_sbuffer packed;
      TouMessage *message = NULL;
      TouStr encoded;

      pack_text (&packed, samples[type], (Change){ -1, FALSE });
      assert_int_equal (
          tou_message_decode (&message, packed.data, packed.size, TEST_MAX_LEN),
          TOU_OK);
      assert_int_equal (message->type, type);
      assert_int_equal (tou_message_encode (&encoded, message), TOU_OK);
      assert_int_equal (encoded.len, packed.size);
      assert_memory_equal (encoded.data, packed.data, encoded.len);
      tou_str_clear (&encoded);
      tou_message_destroy (message);
      msgpack_sbuffer_destroy (&packed);
    }
}

/* A truncated or extended message must be refused, without a read past its
   end. */
static void
test_truncated_message_is_invalid (void **state)
{
  (void)state;
  for (guint type = 0; type < TOU_MESSAGE_COUNT; type++)
    {
      msgpack_sbuffer packed;

      pack_text (&packed, samples[type], (Change){ -1, FALSE });
      for (gsize len = 0; len < packed.size; len++)
        {
          char *truncated = g_memdup2 (packed.data, len);

          assert_int_equal (decode_status (truncated, len),
                            TOU_E_MESSAGE_INVALID);
          g_free (truncated);
        }
      msgpack_sbuffer_write (&packed, "", 1);
      assert_int_equal (decode_status (packed.data, packed.size),
                        TOU_E_MESSAGE_INVALID);
      msgpack_sbuffer_destroy (&packed);
    }
}

/* A field of the wrong type must be refused instead of getting its default. */
static void
test_field_of_wrong_type_is_invalid (void **state)
{
  (void)state;
  for (guint type = 0; type < TOU_MESSAGE_COUNT; type++)
    {
      msgpack_sbuffer packed;

      for (int at = 0;
           pack_text (&packed, samples[type], (Change){ at, FALSE }); at++)
        {
          assert_int_equal (decode_status (packed.data, packed.size),
                            TOU_E_MESSAGE_INVALID);
          msgpack_sbuffer_destroy (&packed);
        }
      assert_int_equal (decode_status (packed.data, packed.size), TOU_OK);
      msgpack_sbuffer_destroy (&packed);
    }
}

/* Later releases may add fields; older proxies must ignore them. */
static void
test_unknown_fields_are_ignored (void **state)
{
  (void)state;
  for (guint type = 0; type < TOU_MESSAGE_COUNT; type++)
    assert_int_equal (text_status (samples[type], (Change){ -1, TRUE }),
                      TOU_OK);
}

/* Values out of range would cause array accesses out of bounds or overflows of
   times. */
static void
test_value_out_of_range_is_refused (void **state)
{
  static const char *const changes[][2] = {
    { "'kind':2", "'kind':5" },
    { "'rank':1", "'rank':3" },
    { "'mode':2", "'mode':4" },
    { "'deadline_us':1000000", "'deadline_us':9223372036854775807" },
    { "'group':'trench'", "'group':'tr\\u0000'" },
    { "'node':'vm1'", "'node':''" },
  };
  TouMessage *message = tou_message_create (TOU_MESSAGE_EXECUTE);
  TouStr text;

  (void)state;
  for (guint i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      char **parts = g_strsplit (samples[3], changes[i][0], -1);
      char *changed = g_strjoinv (changes[i][1], parts);

      assert_string_not_equal (changed, samples[3]);
      assert_int_equal (text_status (changed, (Change){ -1, FALSE }),
                        TOU_E_MESSAGE_INVALID);
      g_strfreev (parts);
      g_free (changed);
    }
  message->u.execute.statement.n_params = TOU_STATEMENT_MAX_PARAMS + 1;
  assert_int_equal (tou_message_encode (&text, message),
                    TOU_E_MESSAGE_TOO_LARGE);
  message->u.execute.statement.n_params = 0;
  tou_message_destroy (message);
}

/* A message of another version must have another status than a malformed
   one. */
static void
test_other_version_is_reported (void **state)
{
  (void)state;
  assert_int_equal (text_status ("{'version':2}", (Change){ -1, FALSE }),
                    TOU_E_MESSAGE_VERSION);
  assert_int_equal (text_status ("{'versioX':1}", (Change){ -1, FALSE }),
                    TOU_E_MESSAGE_INVALID);
}

/* The sizes given in a message must not make the decoder allocate gigabytes,
   and deep nesting must be refused. */
static void
test_excessive_sizes_are_refused (void **state)
{
  char deep[TOU_CODEC_MAX_DEPTH + 2];
  char *wide = g_malloc0 (TOU_CODEC_MAX_VALUES + 5);

  (void)state;
  assert_int_equal (decode_status ("\xdd\xff\xff\xff\xff", 5),
                    TOU_E_MESSAGE_INVALID);
  assert_int_equal (decode_status ("\xdf\xff\xff\xff\xff\xc0", 6),
                    TOU_E_MESSAGE_INVALID);
  assert_int_equal (decode_status ("\xdb\xff\xff\xff\xff\x61", 6),
                    TOU_E_MESSAGE_INVALID);
  memset (deep, '\x91', sizeof deep);
  deep[sizeof deep - 1] = '\xc0';
  assert_false (tou_codec_validate (deep, sizeof deep));
  assert_true (tou_codec_validate (deep + 1, sizeof deep - 1));
  wide[0] = '\xdd';
  wide[2] = TOU_CODEC_MAX_VALUES >> 16;
  assert_false (tou_codec_validate (wide, TOU_CODEC_MAX_VALUES + 5));
  assert_int_equal (decode_status (wide, TEST_MAX_LEN + 1),
                    TOU_E_MESSAGE_TOO_LARGE);
  g_free (wide);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_round_trip_keeps_every_field),
    cmocka_unit_test (test_truncated_message_is_invalid),
    cmocka_unit_test (test_field_of_wrong_type_is_invalid),
    cmocka_unit_test (test_unknown_fields_are_ignored),
    cmocka_unit_test (test_value_out_of_range_is_refused),
    cmocka_unit_test (test_other_version_is_reported),
    cmocka_unit_test (test_excessive_sizes_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
