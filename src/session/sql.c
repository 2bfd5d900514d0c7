#include "sql.h"

#include <string.h>

gboolean
tou_slice_is (TouSlice slice, const char *word)
{
  return slice.len == strlen (word)
         && memcmp (slice.data, word, slice.len) == 0;
}

void
tou_routing_destroy (TouRouting *routing)
{
  if (routing == NULL)
    return;
  g_hash_table_destroy (routing->routes);
  g_hash_table_destroy (routing->groups);
  g_free (routing);
}

void
tou_sql_keep_query (GString *store, const TouSqlCallerMessage *message,
                    TouSlice *id, TouSlice *text)
{
  g_string_truncate (store, 0);
  g_string_append_len (store, message->id.data, (gssize)message->id.len);
  g_string_append_c (store, ' ');
  g_string_append_len (store, message->text.data, (gssize)message->text.len);
  *id = (TouSlice){ store->str, message->id.len };
  *text = (TouSlice){ store->str + message->id.len + 1, message->text.len };
}
