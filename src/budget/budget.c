#include "budget.h"

#include "toucanscale/status.h"

#include <string.h>

/* Users that hold less are not tracked: the statement and the values of an
   ordinary session are smaller. */
#define BUDGET_TRACKED_BYTES 1024
/* Strings with a smaller allocation are kept as they are. */
#define BUDGET_TRIM_BYTES 1024

struct TouBudget
{
  guint64 limit;
  guint64 used[TOU_BUDGET_N];
  guint64 total;
  guint64 peak;
  GQueue tracked; /* of TouBudgetUser */
  gboolean enforcing;
};

int
tou_budget_create (TouBudget **out, guint64 limit_bytes)
{
  TouBudget *budget = g_new0 (TouBudget, 1);

  budget->limit = limit_bytes;
  g_queue_init (&budget->tracked);
  *out = budget;
  return TOU_OK;
}

/* Users may outlive the account: at the end of the process the event loop no
   longer frees sessions. */
void
tou_budget_destroy (TouBudget *budget)
{
  if (budget == NULL)
    return;
  while (budget->tracked.head != NULL)
    tou_budget_user_clear (budget->tracked.head->data);
  g_free (budget);
}

void
tou_budget_user_init (TouBudgetUser *user, TouBudget *budget,
                      const TouBudgetClass *class)
{
  memset (user, 0, sizeof *user);
  user->budget = budget;
  user->class = class;
}

gsize
tou_budget_user_bytes (const TouBudgetUser *user)
{
  gsize bytes = 0;

  for (guint kind = 0; kind < TOU_BUDGET_N; kind++)
    bytes += user->bytes[kind];
  return bytes;
}

static void
budget_track (TouBudgetUser *user, gboolean tracked)
{
  TouBudget *budget = user->budget;

  if (tracked == (user->tracked != NULL))
    return;
  if (tracked)
    {
      g_queue_push_tail (&budget->tracked, user);
      user->tracked = budget->tracked.tail;
      return;
    }
  g_queue_delete_link (&budget->tracked, user->tracked);
  user->tracked = NULL;
}

void
tou_budget_user_clear (TouBudgetUser *user)
{
  if (user->budget == NULL)
    return;
  for (guint kind = 0; kind < TOU_BUDGET_N; kind++)
    tou_budget_set (user, (TouBudgetKind)kind, 0);
  user->budget = NULL;
}

void
tou_budget_set (TouBudgetUser *user, TouBudgetKind kind, gsize bytes)
{
  TouBudget *budget = user->budget;
  guint32 before = user->bytes[kind];
  guint32 now = (guint32)MIN (bytes, G_MAXUINT32);

  if (budget == NULL || now == before)
    return;
  user->bytes[kind] = now;
  budget->used[kind] = budget->used[kind] - before + now;
  budget->total = budget->total - before + now;
  budget->peak = MAX (budget->peak, budget->total);
  budget_track (user, tou_budget_user_bytes (user) > BUDGET_TRACKED_BYTES);
}

guint64
tou_budget_used (const TouBudget *budget, TouBudgetKind kind)
{
  return budget->used[kind];
}

guint64
tou_budget_total (const TouBudget *budget)
{
  return budget->total;
}

guint64
tou_budget_peak (const TouBudget *budget)
{
  return budget->peak;
}

guint64
tou_budget_limit (const TouBudget *budget)
{
  return budget->limit;
}

guint
tou_budget_n_tracked (const TouBudget *budget)
{
  return budget->tracked.length;
}

gboolean
tou_budget_is_tight (const TouBudget *budget)
{
  return budget->limit > 0 && budget->total > budget->limit / 4 * 3;
}

static TouBudgetUser *
budget_largest (const TouBudget *budget)
{
  TouBudgetUser *largest = NULL;
  gsize most = 0;

  for (const GList *node = budget->tracked.head; node != NULL;
       node = node->next)
    {
      TouBudgetUser *user = node->data;
      gsize bytes = tou_budget_user_bytes (user);

      if (user->closing || bytes <= most)
        continue;
      largest = user;
      most = bytes;
    }
  return largest;
}

void
tou_budget_enforce (TouBudget *budget)
{
  TouBudgetUser *user;

  if (budget->limit == 0 || budget->enforcing)
    return;
  budget->enforcing = TRUE;
  while (budget->total > budget->limit
         && (user = budget_largest (budget)) != NULL)
    {
      user->closing = TRUE;
      user->class->close (user);
    }
  budget->enforcing = FALSE;
}

void
tou_budget_check (TouBudget *budget, guint64 now_us)
{
  /* Taken from the head each time, because a check may end other users. */
  for (guint n = budget->tracked.length; n > 0 && budget->tracked.head != NULL;
       n--)
    {
      GList *node = g_queue_pop_head_link (&budget->tracked);
      TouBudgetUser *user = node->data;

      g_queue_push_tail_link (&budget->tracked, node);
      user->class->check (user, now_us);
    }
}

void
tou_budget_trim (GString *string)
{
  if (string->allocated_len <= BUDGET_TRIM_BYTES
      || string->len >= string->allocated_len / 2)
    return;
  string->allocated_len = string->len + 1;
  string->str = g_realloc (string->str, string->allocated_len);
}
