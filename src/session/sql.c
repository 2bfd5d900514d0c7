#include "sql.h"

#include <string.h>

gboolean
tou_slice_is (TouSlice slice, const char *word)
{
  return slice.len == strlen (word)
         && memcmp (slice.data, word, slice.len) == 0;
}

gboolean
tou_slice_is_field (TouSlice slice)
{
  for (gsize i = 0; i < slice.len; i++)
    if (slice.data[i] == ' ' || g_ascii_iscntrl (slice.data[i]))
      return FALSE;
  return slice.len > 0;
}

static GRefString *
sql_ref_name (GRefString *name)
{
  return name != NULL ? g_ref_string_acquire (name) : NULL;
}

void
tou_endpoint_info_copy (TouEndpointInfo *out, const TouEndpointInfo *other)
{
  *out = *other;
  out->full_id = sql_ref_name (other->full_id);
  out->full_group = sql_ref_name (other->full_group);
}

void
tou_endpoint_info_clear (TouEndpointInfo *info)
{
  g_clear_pointer (&info->full_id, g_ref_string_release);
  g_clear_pointer (&info->full_group, g_ref_string_release);
}

const char *
tou_endpoint_info_id (const TouEndpointInfo *info)
{
  return info->full_id != NULL ? info->full_id : info->id.data;
}

const char *
tou_endpoint_info_group (const TouEndpointInfo *info)
{
  return info->full_group != NULL ? info->full_group : info->group.data;
}

void
tou_routing_destroy (TouRouting *routing)
{
  if (routing == NULL)
    return;
  g_hash_table_destroy (routing->routes);
  g_hash_table_destroy (routing->groups);
  if (routing->teams != NULL)
    {
      g_hash_table_destroy (routing->keys);
      g_hash_table_destroy (routing->teams);
    }
  g_free (routing);
}

static void
sql_team_free (gpointer data)
{
  TouTeam *team = data;

  g_clear_pointer (&team->full_name, g_ref_string_release);
  g_free (team);
}

void
tou_routing_enable_teams (TouRouting *routing)
{
  routing->teams = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                          NULL, sql_team_free);
  routing->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
tou_sql_copy_query (GString *buffer, const TouSqlClientMessage *message,
                    TouSlice *id, TouSlice *text)
{
  g_string_truncate (buffer, 0);
  g_string_append_len (buffer, message->id.data, (gssize)message->id.len);
  g_string_append_c (buffer, ' ');
  g_string_append_len (buffer, message->text.data, (gssize)message->text.len);
  *id = (TouSlice){ buffer->str, message->id.len };
  *text = (TouSlice){ buffer->str + message->id.len + 1, message->text.len };
}
