#include "failover.h"

#include <jansson.h>
#include <string.h>

static const char *
record_state_name (TouRecordState state)
{
  switch (state)
    {
    case TOU_RECORD_CLAIMED:
      return "claimed";
    case TOU_RECORD_ACTIVE:
      return "active";
    case TOU_RECORD_NONE:
      break;
    }
  return "none";
}

void
tou_record_format (TouStr *out, const TouGroupRecord *record)
{
  json_t *history = json_array ();
  json_t *object;
  char *text;

  for (guint i = 0; i < record->n_history; i++)
    json_array_append_new (
        history, json_pack ("[I, I]", (json_int_t)record->history[i].term,
                            (json_int_t)record->history[i].start));
  /* The attempt and the state come first: their text is the marker that is
   * searched for in the stored value after a lost reply. */
  object = json_pack ("{s:s, s:s, s:I, s:s, s:I, s:s, s:o}", "attempt",
                      record->attempt.data, "state",
                      record_state_name (record->state), "term",
                      (json_int_t)record->term, "primary", record->primary.data,
                      "primary_term", (json_int_t)record->primary_term, "owner",
                      record->owner.data, "history", history);
  text = json_dumps (object, JSON_COMPACT);
  tou_str_init_c (out, text);
  free (text);
  json_decref (object);
}

static int
record_parse_name (TouName *out, const json_t *object, const char *field)
{
  const json_t *value = json_object_get (object, field);

  if (!json_is_string (value))
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "record: \"%s\" is not a string", field);
  if (tou_name_set (out, json_string_value (value), json_string_length (value))
      != TOU_OK)
    return tou_status_set (TOU_E_CONFIG_INVALID, "record: \"%s\" is too long",
                           field);
  return TOU_OK;
}

static int
record_parse_number (guint64 *out, const json_t *value, const char *field)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "record: \"%s\" is not an integer from 0 up", field);
  *out = (guint64)json_integer_value (value);
  return TOU_OK;
}

static int
record_parse_state (TouRecordState *out, const json_t *object)
{
  const char *text = json_string_value (json_object_get (object, "state"));

  if (text != NULL && strcmp (text, "claimed") == 0)
    *out = TOU_RECORD_CLAIMED;
  else if (text != NULL && strcmp (text, "active") == 0)
    *out = TOU_RECORD_ACTIVE;
  else
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "record: \"state\" is neither \"claimed\" nor "
                           "\"active\"");
  return TOU_OK;
}

static int
record_parse_history (TouGroupRecord *out, const json_t *list)
{
  gsize count = json_array_size (list);
  int status = TOU_OK;

  if (!json_is_array (list) || count > TOU_RECORD_MAX_HISTORY)
    return tou_status_set (TOU_E_CONFIG_INVALID,
                           "record: \"history\" is not a list of at most %d "
                           "terms",
                           TOU_RECORD_MAX_HISTORY);
  for (gsize i = 0; i < count && status == TOU_OK; i++)
    {
      const json_t *pair = json_array_get (list, i);
      TouTermStart *term_start = &out->history[out->n_history++];

      status = record_parse_number (&term_start->term, json_array_get (pair, 0),
                                    "history");
      if (status == TOU_OK)
        status = record_parse_number (&term_start->start,
                                      json_array_get (pair, 1), "history");
      if (status == TOU_OK && i > 0 && term_start->term <= term_start[-1].term)
        status
            = tou_status_set (TOU_E_CONFIG_INVALID,
                              "record: terms in \"history\" do not increase");
    }
  return status;
}

int
tou_record_parse (TouGroupRecord *out, const TouStr *value)
{
  json_error_t error;
  json_t *object = value->data != NULL
                       ? json_loadb (value->data, value->len, 0, &error)
                       : NULL;
  int status;

  *out = (TouGroupRecord){ 0 };
  if (!json_is_object (object))
    {
      json_decref (object);
      return tou_status_set (TOU_E_CONFIG_INVALID,
                             "record is not a JSON object");
    }
  status = record_parse_state (&out->state, object);
  if (status == TOU_OK)
    status = record_parse_number (&out->term, json_object_get (object, "term"),
                                  "term");
  if (status == TOU_OK)
    status = record_parse_number (&out->primary_term,
                                  json_object_get (object, "primary_term"),
                                  "primary_term");
  if (status == TOU_OK)
    status = record_parse_name (&out->primary, object, "primary");
  if (status == TOU_OK)
    status = record_parse_name (&out->owner, object, "owner");
  if (status == TOU_OK)
    status = record_parse_name (&out->attempt, object, "attempt");
  if (status == TOU_OK)
    status = record_parse_history (out, json_object_get (object, "history"));
  json_decref (object);
  return status;
}

void
tou_record_add_term (TouGroupRecord *record, guint64 term, guint64 start)
{
  if (record->n_history == TOU_RECORD_MAX_HISTORY)
    {
      record->n_history--;
      memmove (&record->history[0], &record->history[1],
               sizeof record->history[0] * record->n_history);
    }
  record->history[record->n_history++]
      = (TouTermStart){ .term = term, .start = start };
}

/* TRUE if promotions after @a term may have been dropped from the history. */
static gboolean
record_is_older_than_history (const TouGroupRecord *record, guint64 term)
{
  return record->n_history == TOU_RECORD_MAX_HISTORY
         && term < record->history[0].term;
}

gboolean
tou_record_discards (const TouGroupRecord *record, TouLogPos pos)
{
  if (pos.term == 0)
    return FALSE;
  if (record_is_older_than_history (record, pos.term))
    return TRUE;
  for (guint i = 0; i < record->n_history; i++)
    if (record->history[i].term > pos.term
        && pos.position > record->history[i].start)
      return TRUE;
  return FALSE;
}

gboolean
tou_record_covers (const TouGroupRecord *record, TouLogPos last, TouLogPos pos)
{
  gboolean listed = last.term == pos.term;

  if (pos.term == 0)
    return TRUE;
  if (last.term < pos.term || last.position < pos.position)
    return FALSE;
  if (record_is_older_than_history (record, pos.term))
    return FALSE;
  for (guint i = 0; i < record->n_history; i++)
    {
      const TouTermStart *term_start = &record->history[i];

      if (term_start->term <= pos.term || term_start->term > last.term)
        continue;
      if (pos.position > term_start->start)
        return FALSE;
      listed = listed || term_start->term == last.term;
    }
  return listed;
}
