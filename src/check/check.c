#include "check.h"

#include <jansson.h>

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

static const char *const check_kind_names[]
    = { "error", "unused", "conflict", "change" };

typedef struct
{
  TouCheckKind kind;
  const char *type;
  char *name;
  char *text;
} CheckFinding;

struct TouCheck
{
  GPtrArray *findings; /* of CheckFinding */
};

static void
check_finding_free (gpointer data)
{
  CheckFinding *finding = data;

  g_free (finding->name);
  g_free (finding->text);
  g_free (finding);
}

void
tou_check_create (TouCheck **out)
{
  TouCheck *check = g_new0 (TouCheck, 1);

  check->findings = g_ptr_array_new_with_free_func (check_finding_free);
  *out = check;
}

void
tou_check_destroy (TouCheck *check)
{
  if (check == NULL)
    return;
  g_ptr_array_unref (check->findings);
  g_free (check);
}

void
tou_check_add (TouCheck *check, TouCheckKind kind, const char *type,
               const char *name, const char *format, ...)
{
  CheckFinding *finding = g_new0 (CheckFinding, 1);
  va_list args;

  finding->kind = kind;
  finding->type = type;
  finding->name = g_strdup (name != NULL ? name : "");
  va_start (args, format);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (check->findings, finding);
}

static guint64
check_ms (guint64 time_us)
{
  return time_us / TOU_US_PER_MS;
}

static void
check_route (TouCheck *check, const TouRouting *routing, const TouRoute *route)
{
  const char *name = route->name.data;

  if (!g_hash_table_contains (routing->groups, &route->group))
    tou_check_add (check, TOU_CHECK_UNUSED, "route", name,
                   "its group %s is not defined", route->group.data);
  if (route->anonymous && routing->teams == NULL)
    tou_check_add (check, TOU_CHECK_UNUSED, "route", name,
                   "anonymous has no effect: no team is defined");
  if (route->mode == TOU_READ_FRESH && route->max_age_us > 0)
    tou_check_add (
        check, TOU_CHECK_UNUSED, "route", name,
        "a bound of staleness has no effect on reads of the primary");
  if (route->mode == TOU_READ_MAX_AGE && route->max_age_us == 0)
    tou_check_add (check, TOU_CHECK_CONFLICT, "route", name,
                   "reads of bounded staleness have no bound");
  if (route->timeout_us == 0)
    tou_check_add (check, TOU_CHECK_CONFLICT, "route", name,
                   "a time limit of 0 ms fails every statement");
  else if (route->target_us > route->timeout_us)
    tou_check_add (check, TOU_CHECK_CONFLICT, "route", name,
                   "the latency objective of %" G_GUINT64_FORMAT
                   " ms is above the time limit of %" G_GUINT64_FORMAT " ms",
                   check_ms (route->target_us), check_ms (route->timeout_us));
}

static gboolean
check_group_has_route (const TouRouting *routing, const TouName *group)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, routing->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (tou_name_equal (&((const TouRoute *)value)->group, group))
      return TRUE;
  return FALSE;
}

static void
check_group (TouCheck *check, const TouRouting *routing,
             const TouGroupLimits *group)
{
  if (!check_group_has_route (routing, &group->name))
    tou_check_add (check, TOU_CHECK_UNUSED, "group", group->name.data,
                   "no route leads to it");
  if (group->connection_limit == 0)
    tou_check_add (check, TOU_CHECK_CONFLICT, "group", group->name.data,
                   "it has no connection limit: the connections of all nodes "
                   "may exceed that of the database");
}

/* Returns the numbers of keys by team, TouName to guint: those that @a other
   does not accept for the team; all of them if @a other is NULL. */
static GHashTable *
check_count_keys (const TouRouting *routing, const TouRouting *other)
{
  GHashTable *counts = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (routing->keys == NULL)
    return counts;
  g_hash_table_iter_init (&iter, routing->keys);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      TouTeam *team = value;
      const TouTeam *known = other != NULL && other->keys != NULL
                                 ? g_hash_table_lookup (other->keys, key)
                                 : NULL;
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, &team->name));

      if (known == NULL || !tou_name_equal (&known->name, &team->name))
        g_hash_table_insert (counts, &team->name, GUINT_TO_POINTER (n + 1));
    }
  return counts;
}

static void
check_team (TouCheck *check, const TouTeam *team, GHashTable *n_keys)
{
  if (!g_hash_table_contains (n_keys, &team->name))
    tou_check_add (check, TOU_CHECK_UNUSED, "team", team->name.data,
                   "it has no API key");
  /* An operation uses a whole credit. */
  if (team->rate_per_s > 0 && team->burst < 1)
    tou_check_add (check, TOU_CHECK_CONFLICT, "team", team->name.data,
                   "a burst of %g is less than one operation", team->burst);
}

/* A configuration whose routes all do without keys ignores its teams. */
static void
check_anonymous (TouCheck *check, const TouRouting *routing)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, routing->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((const TouRoute *)value)->anonymous)
      return;
  tou_check_add (check, TOU_CHECK_UNUSED, "configuration", NULL,
                 "teams have no effect: all routes are anonymous");
}

void
tou_check_routing (TouCheck *check, const TouRouting *routing)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *n_keys;

  g_hash_table_iter_init (&iter, routing->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_route (check, routing, value);
  g_hash_table_iter_init (&iter, routing->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_group (check, routing, value);
  if (routing->txn_idle_us == 0)
    tou_check_add (check, TOU_CHECK_CONFLICT, "configuration", NULL,
                   "an idle limit of 0 ms ends every transaction");
  if (routing->teams == NULL)
    return;
  n_keys = check_count_keys (routing, NULL);
  g_hash_table_iter_init (&iter, routing->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_team (check, value, n_keys);
  g_hash_table_unref (n_keys);
  if (g_hash_table_size (routing->teams) > 0)
    check_anonymous (check, routing);
}

static void
check_change_number (TouCheck *check, const char *type, const char *name,
                     const char *field, double before, double after)
{
  if (before != after)
    tou_check_add (check, TOU_CHECK_CHANGE, type, name, "%s %g -> %g", field,
                   before, after);
}

static void
check_change_text (TouCheck *check, const char *type, const char *name,
                   const char *field, const char *before, const char *after)
{
  if (strcmp (before, after) != 0)
    tou_check_add (check, TOU_CHECK_CHANGE, type, name, "%s %s -> %s", field,
                   before, after);
}

static const char *
check_mode_name (TouReadMode mode)
{
  switch (mode)
    {
    case TOU_READ_FRESH:
      return "primary";
    case TOU_READ_MAX_AGE:
      return "bounded staleness";
    case TOU_READ_SESSION:
      return "own writes";
    case TOU_READ_NONE:
      break;
    }
  return "unknown";
}

static void
check_compare_route (TouCheck *check, gconstpointer before, gconstpointer after)
{
  const TouRoute *a = before;
  const TouRoute *b = after;
  const char *name = b->database.data;

  check_change_text (check, "route", name, "name", a->name.data, b->name.data);
  check_change_text (check, "route", name, "group", a->group.data,
                     b->group.data);
  check_change_text (check, "route", name, "reads", check_mode_name (a->mode),
                     check_mode_name (b->mode));
  check_change_number (check, "route", name, "rank", a->rank, b->rank);
  check_change_number (check, "route", name, "bound of staleness (ms)",
                       (double)check_ms (a->max_age_us),
                       (double)check_ms (b->max_age_us));
  check_change_number (check, "route", name, "time limit (ms)",
                       (double)check_ms (a->timeout_us),
                       (double)check_ms (b->timeout_us));
  check_change_number (check, "route", name, "latency objective (ms)",
                       (double)check_ms (a->target_us),
                       (double)check_ms (b->target_us));
  check_change_number (check, "route", name, "anonymous", a->anonymous,
                       b->anonymous);
}

static void
check_compare_group (TouCheck *check, gconstpointer before, gconstpointer after)
{
  const TouGroupLimits *a = before;
  const TouGroupLimits *b = after;

  check_change_number (check, "group", b->name.data, "connection limit",
                       a->connection_limit, b->connection_limit);
  check_change_number (check, "group", b->name.data, "synchronous replicas",
                       a->sync_replicas, b->sync_replicas);
}

static void
check_compare_team (TouCheck *check, gconstpointer before, gconstpointer after)
{
  const TouTeam *a = before;
  const TouTeam *b = after;

  check_change_number (check, "team", b->name.data, "rate per second",
                       a->rate_per_s, b->rate_per_s);
  check_change_number (check, "team", b->name.data, "burst", a->burst,
                       b->burst);
}

/* Compares the entries of two tables; NULL: an empty one. */
static void
check_compare_tables (TouCheck *check, const char *type, GHashTable *before,
                      GHashTable *after,
                      void (*compare) (TouCheck *, gconstpointer,
                                       gconstpointer))
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gpointer old;

  if (after != NULL)
    {
      g_hash_table_iter_init (&iter, after);
      while (g_hash_table_iter_next (&iter, &key, &value))
        {
          old = before != NULL ? g_hash_table_lookup (before, key) : NULL;
          if (old != NULL)
            compare (check, old, value);
          else
            tou_check_add (check, TOU_CHECK_CHANGE, type,
                           ((const TouName *)key)->data, "added");
        }
    }
  if (before == NULL)
    return;
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (after == NULL || !g_hash_table_contains (after, key))
      tou_check_add (check, TOU_CHECK_CHANGE, type,
                     ((const TouName *)key)->data, "removed");
}

/* Adds the numbers of keys that teams have in @a routing only. */
static void
check_compare_keys (TouCheck *check, const TouRouting *routing,
                    const TouRouting *other, const char *change)
{
  GHashTable *counts = check_count_keys (routing, other);
  GHashTableIter iter;
  gpointer team;
  gpointer n;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &team, &n))
    tou_check_add (check, TOU_CHECK_CHANGE, "team",
                   ((const TouName *)team)->data, "API keys %s: %u", change,
                   GPOINTER_TO_UINT (n));
  g_hash_table_unref (counts);
}

void
tou_check_compare (TouCheck *check, const TouRouting *before,
                   const TouRouting *after)
{
  check_change_number (check, "configuration", NULL, "version",
                       (double)before->version, (double)after->version);
  if (after->version <= before->version)
    tou_check_add (check, TOU_CHECK_ERROR, "configuration", NULL,
                   "version %" G_GUINT64_FORMAT
                   " is not above the one in force, so nodes ignore it",
                   after->version);
  check_change_number (check, "configuration", NULL,
                       "idle limit of transactions (ms)",
                       (double)check_ms (before->txn_idle_us),
                       (double)check_ms (after->txn_idle_us));
  if ((before->teams != NULL) != (after->teams != NULL))
    tou_check_add (check, TOU_CHECK_CHANGE, "configuration", NULL,
                   after->teams != NULL ? "clients need an API key"
                                        : "clients need no API key");
  check_compare_tables (check, "route", before->routes, after->routes,
                        check_compare_route);
  check_compare_tables (check, "group", before->groups, after->groups,
                        check_compare_group);
  check_compare_tables (check, "team", before->teams, after->teams,
                        check_compare_team);
  check_compare_keys (check, before, after, "withdrawn");
  check_compare_keys (check, after, before, "added");
}

guint
tou_check_problems (const TouCheck *check)
{
  guint n = 0;

  for (guint i = 0; i < check->findings->len; i++)
    n += ((const CheckFinding *)g_ptr_array_index (check->findings, i))->kind
         != TOU_CHECK_CHANGE;
  return n;
}

static gint
check_order (gconstpointer a, gconstpointer b)
{
  const CheckFinding *x = *(CheckFinding *const *)a;
  const CheckFinding *y = *(CheckFinding *const *)b;
  gint order = (gint)x->kind - (gint)y->kind;

  if (order == 0)
    order = strcmp (x->type, y->type);
  if (order == 0)
    order = strcmp (x->name, y->name);
  return order != 0 ? order : strcmp (x->text, y->text);
}

void
tou_check_print (const TouCheck *check, GString *out)
{
  g_ptr_array_sort (check->findings, check_order);
  for (guint i = 0; i < check->findings->len; i++)
    {
      const CheckFinding *finding = g_ptr_array_index (check->findings, i);

      g_string_append_printf (out, "%s: %s%s%s: %s\n",
                              check_kind_names[finding->kind], finding->type,
                              finding->name[0] != '\0' ? " " : "",
                              finding->name, finding->text);
    }
}

void
tou_check_print_json (const TouCheck *check, GString *out)
{
  json_t *list = json_array ();
  char *text;

  g_ptr_array_sort (check->findings, check_order);
  for (guint i = 0; i < check->findings->len; i++)
    {
      const CheckFinding *finding = g_ptr_array_index (check->findings, i);

      json_array_append_new (list,
                             json_pack ("{s:s,s:s,s:s,s:s}", "kind",
                                        check_kind_names[finding->kind], "type",
                                        finding->type, "name", finding->name,
                                        "text", finding->text));
    }
  text = json_dumps (list, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
  g_string_append_printf (out, "%s\n", text);
  free (text);
  json_decref (list);
}
