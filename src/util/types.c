#include "toucanscale/types.h"

#include <string.h>

int
tou_log_pos_compare (TouLogPos a, TouLogPos b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  if (a.position != b.position)
    return a.position < b.position ? -1 : 1;
  return 0;
}

gboolean
tou_request_id_equal (const TouRequestId *a, const TouRequestId *b)
{
  return a->sequence == b->sequence && a->incarnation == b->incarnation
         && tou_name_equal (&a->node, &b->node);
}

gboolean
tou_request_id_is_set (const TouRequestId *id)
{
  return id->node.len > 0;
}

guint
tou_request_id_hash (gconstpointer id)
{
  const TouRequestId *request = id;

  return tou_name_hash (&request->node) ^ g_int64_hash (&request->sequence)
         ^ g_int64_hash (&request->incarnation);
}

gboolean
tou_request_id_equal_func (gconstpointer a, gconstpointer b)
{
  return tou_request_id_equal (a, b);
}

void
tou_request_id_format (TouStr *out, const TouRequestId *id)
{
  tou_str_printf (out, "%s.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x",
                  id->node.data, id->incarnation, id->sequence);
}

/* Parses a hexadecimal number that fills [start, end). */
static gboolean
parse_hex (guint64 *out, const char *start, const char *end)
{
  guint64 value = 0;

  if (start == end || end - start > 16)
    return FALSE;
  for (const char *p = start; p < end; p++)
    {
      int digit = g_ascii_xdigit_value (*p);

      if (digit < 0)
        return FALSE;
      value = value << 4 | (guint64)digit;
    }
  *out = value;
  return TRUE;
}

int
tou_request_id_parse (TouRequestId *out, const char *text, gsize len)
{
  const char *end = text + len;
  const char *last_dot = g_strrstr_len (text, (gssize)len, ".");
  const char *middle_dot
      = last_dot != NULL ? g_strrstr_len (text, last_dot - text, ".") : NULL;
  TouRequestId id = { 0 };

  if (middle_dot == NULL || middle_dot == text
      || tou_name_set (&id.node, text, (gsize)(middle_dot - text)) != TOU_OK
      || !parse_hex (&id.incarnation, middle_dot + 1, last_dot)
      || !parse_hex (&id.sequence, last_dot + 1, end))
    return tou_status_set (TOU_E_INVALID_ARGUMENT, "malformed request id");
  *out = id;
  return TOU_OK;
}

static TouSessionEntry *
session_find (const TouSession *session, const TouName *group)
{
  for (guint i = 0; i < session->n_entries; i++)
    if (tou_name_equal (&session->entries[i].group, group))
      return (TouSessionEntry *)&session->entries[i];
  return NULL;
}

TouLogPos
tou_session_get (const TouSession *session, const TouName *group)
{
  const TouSessionEntry *entry = session_find (session, group);

  return entry != NULL ? entry->pos : (TouLogPos){ 0, 0 };
}

void
tou_session_raise (TouSession *session, const TouName *group, TouLogPos pos)
{
  TouSessionEntry *entry = session_find (session, group);

  if (pos.term == 0)
    return;
  if (entry != NULL)
    {
      if (tou_log_pos_compare (entry->pos, pos) < 0)
        entry->pos = pos;
      return;
    }
  if (session->n_entries == TOU_SESSION_MAX_GROUPS)
    {
      memmove (&session->entries[0], &session->entries[1],
               sizeof session->entries[0] * (TOU_SESSION_MAX_GROUPS - 1));
      session->n_entries--;
      session->overflow = TRUE;
    }
  entry = &session->entries[session->n_entries++];
  entry->group = *group;
  entry->pos = pos;
}

void
tou_session_merge (TouSession *session, const TouSession *other)
{
  for (guint i = 0; i < other->n_entries; i++)
    tou_session_raise (session, &other->entries[i].group,
                       other->entries[i].pos);
  session->overflow = session->overflow || other->overflow;
}

void
tou_statement_clear (TouStatement *statement)
{
  tou_str_clear (&statement->sql);
  for (guint i = 0; i < statement->n_params; i++)
    tou_str_clear (&statement->params[i]);
  g_free (statement->params);
  *statement = (TouStatement){ 0 };
}

void
tou_statement_copy (TouStatement *out, const TouStatement *other)
{
  *out = (TouStatement){ 0 };
  tou_str_copy (&out->sql, &other->sql);
  out->n_params = other->n_params;
  out->params = g_new0 (TouStr, MAX (other->n_params, 1));
  for (guint i = 0; i < other->n_params; i++)
    tou_str_copy (&out->params[i], &other->params[i]);
}

void
tou_request_clear (TouRequest *request)
{
  tou_str_clear (&request->idempotency_key);
  tou_statement_clear (&request->statement);
}

void
tou_request_copy (TouRequest *out, const TouRequest *other)
{
  *out = *other;
  tou_str_copy (&out->idempotency_key, &other->idempotency_key);
  tou_statement_copy (&out->statement, &other->statement);
}

void
tou_reply_clear (TouReply *reply)
{
  tou_str_clear (&reply->message);
  tou_str_clear (&reply->result);
}

void
tou_entry_clear (TouEntry *entry)
{
  tou_str_clear (&entry->key);
  tou_str_clear (&entry->value);
}

void
tou_entry_copy (TouEntry *out, const TouEntry *other)
{
  tou_str_copy (&out->key, &other->key);
  tou_str_copy (&out->value, &other->value);
  out->revision = other->revision;
}

void
tou_entry_list_add (TouEntryList *list, const char *key, gsize key_len,
                    const char *value, gsize value_len, guint64 revision)
{
  TouEntry *entry;

  list->items = g_renew (TouEntry, list->items, list->count + 1);
  entry = &list->items[list->count++];
  tou_str_init (&entry->key, key, key_len);
  tou_str_init (&entry->value, value, value_len);
  entry->revision = revision;
}

void
tou_entry_list_clear (TouEntryList *list)
{
  for (guint i = 0; i < list->count; i++)
    tou_entry_clear (&list->items[i]);
  g_free (list->items);
  *list = (TouEntryList){ 0 };
}
