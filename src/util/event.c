#include "toucanscale/event.h"

#include <string.h>

/* Initial capacity of an action list. */
#define TOU_ACTION_LIST_MIN 16

TouMessage *
tou_message_create (TouMessageType type)
{
  TouMessage *message = g_new0 (TouMessage, 1);

  message->type = type;
  return message;
}

void
tou_message_destroy (TouMessage *message)
{
  if (message == NULL)
    return;
  switch (message->type)
    {
    case TOU_MESSAGE_EXECUTE:
      tou_request_clear (&message->u.execute);
      break;
    case TOU_MESSAGE_EXECUTE_REPLY:
      tou_reply_clear (&message->u.reply);
      break;
    case TOU_MESSAGE_ENTRIES:
      tou_entry_list_clear (&message->u.entries.entries);
      break;
    case TOU_MESSAGE_LEAVING:
      g_free (message->u.leaving.vms);
      break;
    case TOU_MESSAGE_PING:
    case TOU_MESSAGE_PING_ACK:
    case TOU_MESSAGE_PING_REQ:
    case TOU_MESSAGE_CANCEL:
    case TOU_MESSAGE_SUSPECT:
    case TOU_MESSAGE_ENTRIES_REQUEST:
    case TOU_MESSAGE_COUNT:
      break;
    }
  g_free (message);
}

void
tou_store_call_clear (TouStoreCall *call)
{
  tou_str_clear (&call->key);
  tou_str_clear (&call->value);
}

void
tou_store_result_clear (TouStoreResult *result)
{
  tou_entry_list_clear (&result->entries);
}

void
tou_config_change_clear (TouConfigChange *change)
{
  tou_str_clear (&change->key);
  tou_str_clear (&change->value);
  tou_str_clear (&change->author);
  tou_str_clear (&change->reason);
}

void
tou_event_clear (TouEvent *event)
{
  switch (event->type)
    {
    case TOU_EVENT_PEER:
      tou_message_destroy (event->u.peer);
      break;
    case TOU_EVENT_DB_CLOSED:
      tou_str_clear (&event->u.db_closed.message);
      break;
    case TOU_EVENT_DB_RESULT:
      tou_str_clear (&event->u.db_result.result);
      tou_str_clear (&event->u.db_result.message);
      break;
    case TOU_EVENT_STORE:
      tou_store_result_clear (&event->u.store);
      break;
    case TOU_EVENT_VM_LIST:
      g_free (event->u.vm_list.vms);
      break;
    case TOU_EVENT_REQUEST:
      tou_request_clear (&event->u.request.request);
      break;
    case TOU_EVENT_CONFIG_CHANGE:
      tou_config_change_clear (&event->u.config_change.change);
      break;
    case TOU_EVENT_TICK:
    case TOU_EVENT_DB_OPENED:
    case TOU_EVENT_DB_REPORT:
    case TOU_EVENT_REQUEST_CANCELLED:
    case TOU_EVENT_DUMP:
    case TOU_EVENT_METRICS:
    case TOU_EVENT_DRAIN:
    case TOU_EVENT_COUNT:
      break;
    }
  memset (event, 0, sizeof *event);
}

void
tou_action_clear (TouAction *action)
{
  switch (action->type)
    {
    case TOU_ACTION_SEND:
      tou_message_destroy (action->u.send.message);
      break;
    case TOU_ACTION_DB_EXECUTE:
      tou_statement_clear (&action->u.db_execute.statement);
      tou_str_clear (&action->u.db_execute.idempotency_key);
      tou_str_clear (&action->u.db_execute.fingerprint);
      break;
    case TOU_ACTION_DB_CONTROL:
      tou_str_clear (&action->u.db_control.attempt);
      break;
    case TOU_ACTION_STORE:
      tou_store_call_clear (&action->u.store);
      break;
    case TOU_ACTION_REPLY:
      tou_reply_clear (&action->u.reply.reply);
      break;
    case TOU_ACTION_CONFIG_REPLY:
      tou_str_clear (&action->u.config_reply.message);
      tou_str_clear (&action->u.config_reply.current);
      break;
    case TOU_ACTION_TEXT_REPLY:
      tou_str_clear (&action->u.text_reply.text);
      break;
    case TOU_ACTION_LOG:
      tou_str_clear (&action->u.log.message);
      break;
    case TOU_ACTION_DB_OPEN:
    case TOU_ACTION_DB_CLOSE:
    case TOU_ACTION_VM_LIST:
    case TOU_ACTION_READY:
    case TOU_ACTION_DRAINED:
    case TOU_ACTION_COUNT:
      break;
    }
  memset (action, 0, sizeof *action);
}

TouAction *
tou_action_list_add (TouActionList *list, TouActionType type)
{
  TouAction *action;

  if (list->count == list->capacity)
    {
      list->capacity = MAX (list->capacity * 2, TOU_ACTION_LIST_MIN);
      list->items = g_renew (TouAction, list->items, list->capacity);
    }
  action = &list->items[list->count++];
  memset (action, 0, sizeof *action);
  action->type = type;
  return action;
}

void
tou_action_list_reset (TouActionList *list)
{
  for (guint i = 0; i < list->count; i++)
    tou_action_clear (&list->items[i]);
  list->count = 0;
}

void
tou_action_list_clear (TouActionList *list)
{
  tou_action_list_reset (list);
  g_free (list->items);
  *list = (TouActionList){ 0 };
}
