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
