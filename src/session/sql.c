#include "sql.h"

void
tou_routing_destroy (TouRouting *routing)
{
  if (routing == NULL)
    return;
  g_hash_table_destroy (routing->routes);
  g_hash_table_destroy (routing->groups);
  g_free (routing);
}
