#include "log-set.h"

#include <jansson.h>

struct TouLogSet
{
  GArray *logs; /* of TouLog */
};

int
tou_log_set_create (TouLogSet **out)
{
  *out = g_new0 (TouLogSet, 1);
  (*out)->logs = g_array_new (FALSE, FALSE, sizeof (TouLog));
  return TOU_OK;
}

void
tou_log_set_destroy (TouLogSet *set)
{
  if (set == NULL)
    return;
  g_array_unref (set->logs);
  g_free (set);
}

guint
tou_log_set_size (const TouLogSet *set)
{
  return set->logs->len;
}

const TouLog *
tou_log_set_get (const TouLogSet *set, guint i)
{
  return &g_array_index (set->logs, TouLog, i);
}

gboolean
tou_log_set_contains (const TouLogSet *set, const TouLog *log)
{
  for (guint i = 0; i < set->logs->len; i++)
    {
      const TouLog *other = tou_log_set_get (set, i);

      if (other->started_ms == log->started_ms
          && tou_name_equal (&other->endpoint, &log->endpoint))
        return TRUE;
    }
  return FALSE;
}

gboolean
tou_log_set_has_endpoint (const TouLogSet *set, const TouName *endpoint)
{
  for (guint i = 0; i < set->logs->len; i++)
    if (tou_name_equal (&tou_log_set_get (set, i)->endpoint, endpoint))
      return TRUE;
  return FALSE;
}

gboolean
tou_log_set_add (TouLogSet *set, const TouLog *log)
{
  if (tou_log_set_contains (set, log))
    return FALSE;
  g_array_append_vals (set->logs, log, 1);
  return TRUE;
}

void
tou_log_set_add_all (TouLogSet *set, const TouLogSet *other)
{
  for (guint i = 0; i < other->logs->len; i++)
    tou_log_set_add (set, tou_log_set_get (other, i));
}

void
tou_log_set_clear (TouLogSet *set)
{
  g_array_set_size (set->logs, 0);
}

gboolean
tou_log_set_equal (const TouLogSet *a, const TouLogSet *b)
{
  if (a->logs->len != b->logs->len)
    return FALSE;
  for (guint i = 0; i < a->logs->len; i++)
    if (!tou_log_set_contains (b, tou_log_set_get (a, i)))
      return FALSE;
  return TRUE;
}

char *
tou_log_set_encode (const TouLogSet *set)
{
  json_t *list = json_array ();
  char *text;

  for (guint i = 0; i < set->logs->len; i++)
    {
      const TouLog *log = tou_log_set_get (set, i);

      json_array_append_new (list, json_pack ("{s:s,s:I}", "endpoint",
                                              log->endpoint.data, "started",
                                              (json_int_t)log->started_ms));
    }
  text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  return text;
}

static gboolean
log_decode (TouLog *out, json_t *object)
{
  const char *endpoint;
  json_int_t started_ms;

  if (json_unpack (object, "{s:s,s:I}", "endpoint", &endpoint, "started",
                   &started_ms)
          != 0
      || started_ms < 0 || tou_name_set_c (&out->endpoint, endpoint) != TOU_OK)
    return FALSE;
  out->started_ms = (guint64)started_ms;
  return TRUE;
}

int
tou_log_set_decode (TouLogSet *set, const TouStr *value)
{
  json_t *root = json_loadb (value->data, value->len, 0, NULL);
  GArray *logs = g_array_new (FALSE, FALSE, sizeof (TouLog));
  int status = TOU_OK;

  if (!json_is_array (root))
    status = TOU_E_INVALID_JSON;
  for (gsize i = 0; status == TOU_OK && i < json_array_size (root); i++)
    {
      TouLog log = { 0 };

      if (log_decode (&log, json_array_get (root, i)))
        g_array_append_val (logs, log);
      else
        status = TOU_E_INVALID_JSON;
    }
  if (status == TOU_OK)
    {
      GArray *previous = set->logs;

      set->logs = logs;
      logs = previous;
    }
  else
    tou_status_set (status, "cannot decode set of logs");
  g_array_unref (logs);
  json_decref (root);
  return status;
}

void
tou_log_check_start (TouLogCheck *check, guint64 now_us)
{
  *check = (TouLogCheck){ 0 };
  check->since_us = now_us;
}

gboolean
tou_log_check_report (TouLogCheck *check, const TouLogStatus *statuses,
                      guint n_statuses, guint sync_replicas)
{
  guint n_received = 0;

  for (guint i = 0; !check->has_position && i < n_statuses; i++)
    if (statuses[i].primary && statuses[i].status_us >= check->since_us)
      {
        check->has_position = TRUE;
        check->position = statuses[i].received;
      }
  if (!check->has_position)
    return FALSE;
  for (guint i = 0; i < n_statuses; i++)
    if (!statuses[i].primary && statuses[i].status_us >= check->since_us
        && tou_log_pos_compare (statuses[i].received, check->position) >= 0)
      n_received++;
  return n_received >= sync_replicas;
}
