#include "access.h"

#include "toucanscale/status.h"

#include <math.h>
#include <string.h>

int
tou_access_check (const TouRouting *routing, const TouRoute *route,
                  const char *key, TouName *team)
{
  const TouTeam *owner = NULL;

  memset (team, 0, sizeof *team);
  if (routing->teams == NULL)
    return TOU_OK;
  if (key != NULL)
    owner = g_hash_table_lookup (routing->keys, key);
  if (owner != NULL)
    *team = owner->name;
  return owner != NULL || route->anonymous ? TOU_OK : TOU_E_UNAUTHORIZED;
}

/* Names are fields of the line protocol, which separates them by blanks. */
static gboolean
access_is_field (const char *text, gsize len)
{
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isgraph (text[i]))
      return FALSE;
  return len > 0;
}

int
tou_access_add_team (TouRouting *routing, const TouTeam *team)
{
  TouTeam *copy;

  if (!access_is_field (team->name.data, team->name.len))
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "a team's name is empty or contains blanks");
  if (!isfinite (team->rate_per_s) || team->rate_per_s < 0
      || !isfinite (team->burst) || team->burst < 0)
    return tou_status_set (TOU_E_CONFIG_INVALID, "team %s has an invalid quota",
                           team->name.data);
  if (routing->teams == NULL)
    tou_routing_enable_teams (routing);
  if (g_hash_table_contains (routing->teams, &team->name))
    return tou_status_set (TOU_E_CONFIG_INVALID, "team %s is defined twice",
                           team->name.data);
  copy = g_memdup2 (team, sizeof *team);
  g_hash_table_insert (routing->teams, &copy->name, copy);
  return TOU_OK;
}

int
tou_access_add_key (TouRouting *routing, const TouName *name, const char *key,
                    gsize len)
{
  TouTeam *team = g_hash_table_lookup (routing->teams, name);
  char *copy;

  /* The message must not contain the key. */
  if (team == NULL || len > TOU_KEY_MAX || !access_is_field (key, len))
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "team %s has a key that is empty, longer than %d "
                           "bytes or contains blanks",
                           name->data, TOU_KEY_MAX);
  copy = g_strndup (key, len);
  if (g_hash_table_contains (routing->keys, copy))
    {
      g_free (copy);
      return tou_status_set (TOU_E_CONFIG_INVALID,
                             "team %s has a key that is listed before",
                             name->data);
    }
  g_hash_table_insert (routing->keys, copy, team);
  return TOU_OK;
}
