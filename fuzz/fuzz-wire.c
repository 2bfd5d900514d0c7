/* Passes arbitrary bytes to the decoders of the platform's messages and
   documents. The slices of a decoded message must lie within the input. */
#include "document.h"
#include "settings.h"
#include "wire.h"

#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_inside (TouSlice part, TouSlice whole)
{
  if (part.len == 0)
    return;
  if (part.data < whole.data || part.data + part.len > whole.data + whole.len)
    abort ();
}

static void
decode_line (TouSlice line)
{
  TouSqlClientMessage message;
  TouSqlStatement statement;
  TouSqlReply reply;
  TouSqlStatus status;
  TouSlice text = line;
  TouLogPos after;

  plat_wire_decode_client_message (&message, line);
  check_inside (message.database, line);
  check_inside (message.id, line);
  check_inside (message.text, line);
  check_inside (message.user, line);
  check_inside (message.endpoint, line);
  if (plat_wire_parse_after (&after, &text))
    check_inside (text, line);
  plat_wire_decode_statement (&statement, line);
  if (statement.kind == TOU_SQL_EXECUTE)
    check_inside (statement.as.execute.arguments, line);
  plat_wire_decode_reply (&reply, line);
  check_inside (reply.text, line);
  plat_wire_decode_status (&status, line);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = g_strndup ((const char *)data, size);
  TouStr value = { text, size };
  GPtrArray *problems = g_ptr_array_new_with_free_func (plat_problem_free);
  TouEndpointInfo info;
  TouRouting *routing;
  TouSlice line;
  TouNodeSettings settings;
  gsize used = 0;

  while (plat_wire_next_line (&line, text, size, &used))
    {
      if (used > size)
        abort ();
      decode_line (line);
    }
  plat_document_decode_endpoint (&info, "i-1", &value);
  tou_endpoint_info_clear (&info);
  if (plat_document_decode_routing (&routing, problems, &value) == TOU_OK)
    tou_routing_destroy (routing);
  g_ptr_array_unref (problems);
  plat_settings_parse (&settings, text);
  g_free (text);
  return 0;
}
