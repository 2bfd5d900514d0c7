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

char *
tou_access_new_key (TouSlice text)
{
  TouName key;

  if (!tou_slice_is_field (text))
    return NULL;
  tou_name_shorten (&key, text.data, text.len);
  return g_strndup (key.data, key.len);
}

static const char *
access_full_name (const TouTeam *team)
{
  return team->full_name != NULL ? team->full_name : team->name.data;
}

const char *
tou_access_full_name (const TouRouting *routing, const TouName *name)
{
  const TouTeam *team = routing != NULL && routing->teams != NULL
                            ? g_hash_table_lookup (routing->teams, name)
                            : NULL;

  if (team != NULL)
    return access_full_name (team);
  return tou_name_is_shortened (name) ? NULL : name->data;
}

int
tou_access_add_team (TouRouting *routing, const TouTeam *team)
{
  const char *name = access_full_name (team);
  TouTeam *copy;

  if (!tou_slice_is_field ((TouSlice){ name, strlen (name) }))
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
  if (copy->full_name != NULL)
    g_ref_string_acquire (copy->full_name);
  g_hash_table_insert (routing->teams, &copy->name, copy);
  return TOU_OK;
}

int
tou_access_add_key (TouRouting *routing, const TouName *name, const char *key,
                    gsize len)
{
  TouTeam *team = g_hash_table_lookup (routing->teams, name);
  char *copy = tou_access_new_key ((TouSlice){ key, len });

  /* The message must not contain the key. */
  if (team == NULL || copy == NULL)
    {
      g_free (copy);
      return tou_status_set (
          TOU_E_CONFIG_INVALID,
          "team %s has a key that is empty or contains blanks", name->data);
    }
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
