#include "member-private.h"

/* Messages per transfer and tick. A table of 5,900 members takes about 400
 * messages, too many for the send buffer of one peer at once. */
#define TOU_TRANSFER_MESSAGES 32
/* Maximum number of concurrent transfers; further joining proxies query another
 * member. */
#define TOU_TRANSFER_MAX 16

void
tou_member_start_transfer (TouMember *member, const TouName *to)
{
  MemberTransfer transfer = { .to = *to };

  for (guint i = 0; i < member->transfers->len; i++)
    if (tou_name_equal (
            &g_array_index (member->transfers, MemberTransfer, i).to, to))
      return;
  if (member->transfers->len < TOU_TRANSFER_MAX)
    g_array_append_val (member->transfers, transfer);
}

/* Returns the index of the first member that has not been sent yet. */
static guint
transfer_position (const TouMember *member, const MemberTransfer *transfer)
{
  guint i = tou_member_lower_bound (member, &transfer->after);

  if (i < member->sorted->len
      && tou_name_equal (&tou_member_at (member, i)->name, &transfer->after))
    i++;
  return i;
}

/* Sends one message, marked as a part of the table by sequence 0. Returns FALSE
 * if all members have been sent. */
static gboolean
transfer_send (TouMember *member, MemberTransfer *transfer)
{
  TouMessage *message = tou_message_create (TOU_MESSAGE_PING_ACK);
  TouPing *ping = &message->u.ping;
  guint i = transfer_position (member, transfer);

  ping->target = member->self->update.name;
  ping->updates[ping->n_updates++] = member->self->update;
  for (; i < member->sorted->len && ping->n_updates < TOU_MESSAGE_MAX_UPDATES;
       i++)
    {
      const TouMemberUpdate *update = tou_member_at (member, i);

      transfer->after = update->name;
      if (update->state != TOU_MEMBER_DEAD && update != &member->self->update)
        ping->updates[ping->n_updates++] = *update;
    }
  if (ping->n_updates == 1)
    {
      tou_message_destroy (message);
      return FALSE;
    }
  tou_context_send (member->ctx, &transfer->to, message);
  return TRUE;
}

static gboolean
transfer_advance (TouMember *member, MemberTransfer *transfer)
{
  for (guint n = 0; n < TOU_TRANSFER_MESSAGES; n++)
    if (!transfer_send (member, transfer))
      return FALSE;
  return TRUE;
}

void
tou_member_send_transfers (TouMember *member)
{
  for (guint i = member->transfers->len; i > 0; i--)
    {
      MemberTransfer *transfer
          = &g_array_index (member->transfers, MemberTransfer, i - 1);

      if (!transfer_advance (member, transfer))
        g_array_remove_index (member->transfers, i - 1);
    }
}
