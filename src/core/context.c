#include "context.h"

#include "member.h"

#include <stdarg.h>

guint64
tou_context_next_id (TouContext *ctx)
{
  return ++ctx->next_id;
}

void
tou_context_send (TouContext *ctx, const TouName *node, TouMessage *message)
{
  const TouMemberUpdate *to = tou_member_find (ctx->member, node);

  if (to == NULL || tou_name_equal (node, &ctx->settings.node))
    {
      tou_message_destroy (message);
      return;
    }
  tou_context_send_address (ctx, node, &to->address, message);
}

void
tou_context_send_address (TouContext *ctx, const TouName *node,
                          const TouName *address, TouMessage *message)
{
  TouAction *action = tou_action_list_add (ctx->actions, TOU_ACTION_SEND);

  message->from = ctx->settings.node;
  message->from_incarnation = ctx->settings.incarnation;
  action->u.send.node = *node;
  action->u.send.address = *address;
  action->u.send.message = message;
  TOU_COUNT (ctx, MESSAGES_SENT);
}

void
tou_context_log (TouContext *ctx, GLogLevelFlags level, int code,
                 const char *format, ...)
{
  TouAction *action = tou_action_list_add (ctx->actions, TOU_ACTION_LOG);
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  action->u.log.level = level;
  action->u.log.code = code;
  tou_str_init_c (&action->u.log.message, text);
  g_free (text);
}
