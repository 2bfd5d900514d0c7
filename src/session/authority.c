#include "authority.h"

/* Maximum age of the cached majority proof. With many nodes, computing it costs
   as much as a statement. */
#define AUTHORITY_CACHE_US (50 * TOU_US_PER_MS)

struct TouAuthority
{
  TouGroupRecord record;
  guint64 store_proof_us;
  guint64 majority_proof_us; /* cached for majority_n answers at computed_us */
  guint64 computed_us;
  guint majority_n;
  guint64 earlier_proof_us; /* by voters that have been replaced since */
  GHashTable *nodes;        /* TouName to guint64, the time of the proof */
};

gboolean
tou_group_record_equal (const TouGroupRecord *a, const TouGroupRecord *b)
{
  return a->term == b->term && a->moving == b->moving
         && tou_name_equal (&a->primary, &b->primary)
         && tou_name_equal (&a->candidate, &b->candidate);
}

const TouGroupRecord *
tou_group_record_later (const TouGroupRecord *a, const TouGroupRecord *b)
{
  if (a->term != b->term)
    return a->term > b->term ? a : b;
  if (a->moving != b->moving)
    return a->moving ? a : b;
  return a->candidate.len >= b->candidate.len ? a : b;
}

int
tou_authority_create (TouAuthority **out)
{
  TouAuthority *authority = g_new0 (TouAuthority, 1);

  authority->nodes = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                            g_free, g_free);
  *out = authority;
  return TOU_OK;
}

void
tou_authority_destroy (TouAuthority *authority)
{
  if (authority == NULL)
    return;
  g_hash_table_destroy (authority->nodes);
  g_free (authority);
}

gboolean
tou_authority_adopt (TouAuthority *authority, const TouGroupRecord *record)
{
  if (record->revision <= authority->record.revision)
    return FALSE;
  if (tou_group_record_equal (record, &authority->record))
    {
      authority->record.revision = record->revision;
      return FALSE;
    }
  authority->record = *record;
  authority->store_proof_us = 0;
  authority->majority_proof_us = 0;
  authority->earlier_proof_us = 0;
  g_hash_table_remove_all (authority->nodes);
  return TRUE;
}

const TouGroupRecord *
tou_authority_record (const TouAuthority *authority)
{
  return &authority->record;
}

void
tou_authority_prove_by_store (TouAuthority *authority, guint64 revision,
                              guint64 at_us)
{
  if (revision == authority->record.revision)
    authority->store_proof_us = MAX (authority->store_proof_us, at_us);
}

void
tou_authority_prove_by_node (TouAuthority *authority, const TouName *node,
                             guint64 revision, guint64 at_us)
{
  guint64 *proved_us;

  if (revision != authority->record.revision)
    return;
  proved_us = g_hash_table_lookup (authority->nodes, node);
  if (proved_us == NULL)
    {
      proved_us = g_new0 (guint64, 1);
      g_hash_table_insert (authority->nodes, g_memdup2 (node, sizeof *node),
                           proved_us);
    }
  *proved_us = MAX (*proved_us, at_us);
}

static gint
authority_newest_first (gconstpointer a, gconstpointer b)
{
  guint64 left = *(const guint64 *)a;
  guint64 right = *(const guint64 *)b;

  return left > right ? -1 : left < right;
}

/* A time of 0 means no proof. */
static gboolean
authority_is_recent (guint64 proved_us, guint64 now_us)
{
  return proved_us != 0 && now_us < proved_us + TOU_AUTHORITY_VALID_US;
}

static guint64
authority_find_majority (const TouAuthority *authority, guint n_required)
{
  GArray *times;
  GHashTableIter iter;
  gpointer value;
  guint64 result = 0;

  if (n_required == 0 || g_hash_table_size (authority->nodes) < n_required)
    return 0;
  times = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_hash_table_iter_init (&iter, authority->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_vals (times, value, 1);
  g_array_sort (times, authority_newest_first);
  result = g_array_index (times, guint64, n_required - 1);
  g_array_unref (times);
  return result;
}

/* Returns the time at or after which a majority of the voters proved the
   record. A cached time stays valid, as proofs only become newer. */
static guint64
authority_majority_proof_us (TouAuthority *authority, guint n_required,
                             guint64 now_us)
{
  if (authority->majority_n != n_required
      || !authority_is_recent (authority->majority_proof_us, now_us)
      || now_us >= authority->computed_us + AUTHORITY_CACHE_US)
    {
      authority->majority_proof_us
          = authority_find_majority (authority, n_required);
      authority->majority_n = n_required;
      authority->computed_us = now_us;
    }
  return MAX (authority->majority_proof_us, authority->earlier_proof_us);
}

void
tou_authority_set_voters (TouAuthority *authority, const TouName *voters,
                          guint n_voters)
{
  GHashTableIter iter;
  gpointer key;

  authority->earlier_proof_us
      = MAX (authority->earlier_proof_us, authority->majority_proof_us);
  authority->majority_proof_us = 0;
  authority->computed_us = 0;
  g_hash_table_iter_init (&iter, authority->nodes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      guint i = 0;

      while (i < n_voters && !tou_name_equal (&voters[i], key))
        i++;
      if (i == n_voters)
        g_hash_table_iter_remove (&iter);
    }
}

guint64
tou_authority_proved_us (TouAuthority *authority, guint n_required,
                         guint64 now_us)
{
  return MAX (authority->store_proof_us,
              authority_majority_proof_us (authority, n_required, now_us));
}

gboolean
tou_authority_is_valid (TouAuthority *authority, guint n_required,
                        guint64 now_us)
{
  if (authority->record.revision == 0 || authority->record.moving)
    return FALSE;
  return authority_is_recent (
      tou_authority_proved_us (authority, n_required, now_us), now_us);
}

gboolean
tou_authority_may_remove_node (guint n_nodes, guint n_reporting,
                               guint64 since_heartbeat_us)
{
  if (n_reporting * 2 > n_nodes)
    return since_heartbeat_us >= TOU_AUTHORITY_REMOVE_US;
  /* By then the unreachable nodes no longer accept proofs from each other. */
  return since_heartbeat_us
         >= TOU_AUTHORITY_STORE_TIMEOUT_US + TOU_AUTHORITY_REMOVE_US;
}

gboolean
tou_authority_vouches (guint n_nodes, guint n_reporting,
                       guint64 since_followed_us)
{
  return since_followed_us < (n_reporting >= n_nodes
                                  ? TOU_AUTHORITY_COMPLETE_TIMEOUT_US
                                  : TOU_AUTHORITY_STORE_TIMEOUT_US);
}

gboolean
tou_authority_has_expired (gboolean knows_leader, guint64 since_us)
{
  return since_us >= (knows_leader ? TOU_AUTHORITY_STORE_TIMEOUT_US
                                   : TOU_AUTHORITY_COMPLETE_TIMEOUT_US)
                         + TOU_AUTHORITY_REMOVE_US;
}
