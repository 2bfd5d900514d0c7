#include "feed-private.h"

#include "gate.h"
#include "member.h"

/* Number of polls in which a row is announced, so that each proxy receives it
 * despite lost messages: 4 polls of 500 ms cover the 2 s of invariant 7. */
#define TOU_LEAVING_ANNOUNCEMENTS 4
/* Interval of later announcements, for proxies that started after the first
 * ones (design 3.14). */
#define TOU_LEAVING_REANNOUNCE_US (5 * TOU_US_PER_S)
/* Time after which a row is forwarded again: longer than the first
 * announcements of all watchers take, and shorter than the interval of later
 * announcements. */
#define TOU_LEAVING_FORWARD_AGAIN_US (2500 * TOU_US_PER_MS)
/* A row expires if it is not listed or announced for this time; two of the
 * later announcements may be lost. */
#define TOU_LEAVING_EXPIRY_US (15 * TOU_US_PER_S)
/* Limits the memory used; a failure domain has about 1,100 databases. */
#define TOU_LEAVING_MAX_ROWS 4096

/** A row of the VM list with the state LEAVING. */
typedef struct
{
  TouName name;
  TouName address;
  guint64 since_us;       /**< first time in the VM list or a message */
  guint64 last_listed_us; /**< last time in the VM list or a message */
  guint64 sent_us; /**< last time it was announced or forwarded; 0: never */
  guint n_announcements;
} LeavingRow;

struct TouLeaving
{
  TouContext *ctx;
  GHashTable *rows;       /**< TouName in the value -> LeavingRow */
  GHashTable *by_address; /**< TouName in the value -> LeavingRow */
};

int
tou_leaving_create (TouLeaving **out, TouContext *ctx)
{
  TouLeaving *leaving = g_new0 (TouLeaving, 1);

  leaving->ctx = ctx;
  leaving->rows = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, g_free);
  leaving->by_address = g_hash_table_new (tou_name_hash, tou_name_equal_func);
  *out = leaving;
  return TOU_OK;
}

void
tou_leaving_destroy (TouLeaving *leaving)
{
  if (leaving == NULL)
    return;
  g_hash_table_destroy (leaving->by_address);
  g_hash_table_destroy (leaving->rows);
  g_free (leaving);
}

gboolean
tou_leaving_find (const TouLeaving *leaving, const TouName *name,
                  const TouName *address, guint64 *since_us)
{
  const LeavingRow *row = g_hash_table_lookup (leaving->rows, name);

  if (row == NULL)
    row = g_hash_table_lookup (leaving->by_address, address);
  if (row == NULL)
    return FALSE;
  *since_us = row->since_us;
  return TRUE;
}

static void
leaving_remove_address (TouLeaving *leaving, const LeavingRow *row)
{
  if (g_hash_table_lookup (leaving->by_address, &row->address) == row)
    g_hash_table_remove (leaving->by_address, &row->address);
}

static void
leaving_remove (TouLeaving *leaving, const TouName *name)
{
  const LeavingRow *row = g_hash_table_lookup (leaving->rows, name);

  if (row == NULL)
    return;
  leaving_remove_address (leaving, row);
  g_hash_table_remove (leaving->rows, name);
}

static gboolean
leaving_is_expired (gpointer key, gpointer value, gpointer user_data)
{
  TouLeaving *leaving = user_data;
  const LeavingRow *row = value;

  (void)key;
  if (leaving->ctx->now_us - row->last_listed_us < TOU_LEAVING_EXPIRY_US)
    return FALSE;
  leaving_remove_address (leaving, row);
  return TRUE;
}

static void
leaving_remove_expired (TouLeaving *leaving)
{
  g_hash_table_foreach_remove (leaving->rows, leaving_is_expired, leaving);
}

/* Returns the row of @a vm and updates its last_listed_us. Adds the row if it
 * is missing; returns NULL if the table is full. */
static LeavingRow *
leaving_refresh_row (TouLeaving *leaving, const TouVm *vm)
{
  LeavingRow *row = g_hash_table_lookup (leaving->rows, &vm->name);

  if (row == NULL)
    {
      if (g_hash_table_size (leaving->rows) >= TOU_LEAVING_MAX_ROWS)
        return NULL;
      row = g_new0 (LeavingRow, 1);
      row->name = vm->name;
      row->address = vm->address;
      row->since_us = leaving->ctx->now_us;
      g_hash_table_insert (leaving->rows, &row->name, row);
      if (row->address.len > 0)
        g_hash_table_replace (leaving->by_address, &row->address, row);
    }
  row->last_listed_us = leaving->ctx->now_us;
  return row;
}

/* TRUE if the watcher must announce the row in this poll. */
static gboolean
leaving_is_announcement_due (const TouLeaving *leaving, const LeavingRow *row)
{
  return row->n_announcements < TOU_LEAVING_ANNOUNCEMENTS
         || leaving->ctx->now_us - row->sent_us >= TOU_LEAVING_REANNOUNCE_US;
}

/* TRUE if a received message with the row must be forwarded. */
static gboolean
leaving_is_forward_due (const TouLeaving *leaving, const LeavingRow *row)
{
  return row->sent_us == 0
         || leaving->ctx->now_us - row->sent_us >= TOU_LEAVING_FORWARD_AGAIN_US;
}

static void
leaving_send (TouLeaving *leaving, const TouVm *vms, guint count)
{
  TouName targets[TOU_FEED_FANOUT];
  guint n = tou_member_pick (leaving->ctx->member, TOU_FEED_FANOUT, targets);

  for (guint i = 0; i < n; i++)
    {
      TouMessage *message = tou_message_create (TOU_MESSAGE_LEAVING);

      message->u.leaving.count = count;
      message->u.leaving.vms = g_memdup2 (vms, sizeof *vms * count);
      tou_context_send (leaving->ctx, &targets[i], message);
    }
}

/* Withdraws all rows in one call, so that rows with the same cause are handled
 * together. */
static void
leaving_withdraw (TouLeaving *leaving, const TouVm *vms, guint count)
{
  tou_member_on_leaving (leaving->ctx->member, vms, count);
  tou_gate_on_leaving (leaving->ctx->gate, vms, count);
}

void
tou_leaving_on_vm_list (TouLeaving *leaving, const TouVm *vms, guint count)
{
  TouVm *batch = g_new (TouVm, MAX (count, 1));
  guint n_batch = 0;
  guint n_new = 0;

  leaving_remove_expired (leaving);
  for (guint i = 0; i < count; i++)
    {
      LeavingRow *row;

      if (vms[i].state != TOU_VM_LEAVING)
        {
          leaving_remove (leaving, &vms[i].name);
          continue;
        }
      row = leaving_refresh_row (leaving, &vms[i]);
      if (row == NULL || !leaving_is_announcement_due (leaving, row))
        continue;
      n_new += row->sent_us == 0;
      row->n_announcements++;
      row->sent_us = leaving->ctx->now_us;
      batch[n_batch++] = vms[i];
    }
  if (n_new > 0)
    leaving_withdraw (leaving, batch, n_batch);
  if (n_batch > 0)
    leaving_send (leaving, batch, n_batch);
  g_free (batch);
}

void
tou_leaving_on_message (TouLeaving *leaving, const TouMessage *message)
{
  const TouVm *vms = message->u.leaving.vms;
  guint count = message->u.leaving.count;
  guint n_forward = 0;

  leaving_remove_expired (leaving);
  for (guint i = 0; i < count; i++)
    {
      LeavingRow *row = vms[i].state == TOU_VM_LEAVING
                            ? leaving_refresh_row (leaving, &vms[i])
                            : NULL;

      if (row == NULL || !leaving_is_forward_due (leaving, row))
        continue;
      row->sent_us = leaving->ctx->now_us;
      n_forward++;
    }
  if (n_forward == 0)
    return;
  leaving_withdraw (leaving, vms, count);
  leaving_send (leaving, vms, count);
}
