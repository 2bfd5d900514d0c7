#include "place.h"

#include "feed.h"

#include <string.h>
#include <xxhash.h>

/* Number of ranked members kept per group beyond the candidates, so that the
 * loss of a candidate does not require ranking all members again. */
#define TOU_PLACE_RESERVE 4
#define TOU_PLACE_RANKED (TOU_MAX_CANDIDATES + TOU_PLACE_RESERVE)

/** A live member with its rank in one group. */
typedef struct
{
  gboolean home; /**< in the group's home region */
  guint64 score;
  TouName name;
  TouName failure_domain;
} PlaceRank;

/** Cached placement of one group. */
typedef struct
{
  TouName name;
  TouName home_region;
  guint64 hash;
  guint64 version;   /**< live version of the ranks */
  gboolean complete; /**< the ranks contain every live member */
  gboolean outdated; /**< the placement must be rebuilt */
  guint n_ranks;
  PlaceRank ranks[TOU_PLACE_RANKED]; /**< best first */
  TouPlacement placement;
} PlaceGroup;

/** The values by which a live member is ranked, except for ties. */
typedef struct
{
  guint64 name_hash;
  guint64 region_hash;
  guint index; /**< in the member table */
} PlaceMember;

struct TouPlace
{
  TouContext *ctx;
  GHashTable *groups; /**< TouName in the value -> PlaceGroup */

  /* A compact copy of the live members. Without it, reading the member table
   * would dominate the time to rank all members for thousands of groups. */
  GArray *members; /**< PlaceMember */
  guint64 members_version;
};

int
tou_place_create (TouPlace **out, TouContext *ctx)
{
  TouPlace *place = g_new0 (TouPlace, 1);

  place->ctx = ctx;
  place->groups = g_hash_table_new_full (tou_name_hash, tou_name_equal_func,
                                         NULL, g_free);
  place->members = g_array_new (FALSE, FALSE, sizeof (PlaceMember));
  *out = place;
  return TOU_OK;
}

void
tou_place_destroy (TouPlace *place)
{
  if (place == NULL)
    return;
  g_hash_table_destroy (place->groups);
  g_array_free (place->members, TRUE);
  g_free (place);
}

/** A scored member; its names are copied only when it is ranked. */
typedef struct
{
  gboolean home;
  guint64 score;
  const TouName *name;
  const TouName *failure_domain;
} PlaceScored;

static guint64
place_name_hash (const TouName *name)
{
  return XXH3_64bits (name->data, name->len);
}

static guint64
place_score (const PlaceGroup *group, guint64 name_hash)
{
  guint64 pair[2] = { group->hash, name_hash };

  return XXH3_64bits (pair, sizeof pair);
}

static gboolean
place_ranks_before (const PlaceScored *a, const PlaceRank *b)
{
  if (a->home != b->home)
    return a->home;
  if (a->score != b->score)
    return a->score > b->score;
  return tou_name_compare (a->name, &b->name) < 0;
}

static void
place_insert (PlaceGroup *group, const PlaceScored *scored)
{
  guint i = group->n_ranks;

  while (i > 0 && place_ranks_before (scored, &group->ranks[i - 1]))
    i--;
  if (i == group->n_ranks && !group->complete)
    return;
  if (i == TOU_PLACE_RANKED)
    {
      group->complete = FALSE;
      return;
    }
  if (group->n_ranks == TOU_PLACE_RANKED)
    {
      group->n_ranks--;
      group->complete = FALSE;
    }
  memmove (&group->ranks[i + 1], &group->ranks[i],
           sizeof group->ranks[0] * (group->n_ranks - i));
  group->ranks[i] = (PlaceRank){ .home = scored->home,
                                 .score = scored->score,
                                 .name = *scored->name,
                                 .failure_domain = *scored->failure_domain };
  group->n_ranks++;
  group->outdated = group->outdated || i < TOU_MAX_CANDIDATES;
}

static void
place_remove (PlaceGroup *group, const TouName *name)
{
  guint i = 0;

  while (i < group->n_ranks && !tou_name_equal (&group->ranks[i].name, name))
    i++;
  if (i == group->n_ranks)
    return;
  group->n_ranks--;
  group->outdated = group->outdated || i < TOU_MAX_CANDIDATES;
  memmove (&group->ranks[i], &group->ranks[i + 1],
           sizeof group->ranks[0] * (group->n_ranks - i));
}

static void
place_copy_members (TouPlace *place)
{
  const TouMember *member = place->ctx->member;
  guint count = tou_member_count (member);

  place->members_version = tou_member_live_version (member);
  g_array_set_size (place->members, 0);
  for (guint i = 0; i < count; i++)
    {
      PlaceMember copy = { .index = i };
      const TouMemberUpdate *live
          = tou_member_live_at (member, i, &copy.name_hash);

      if (live == NULL)
        continue;
      copy.region_hash = place_name_hash (&live->region);
      g_array_append_val (place->members, copy);
    }
}

/* TRUE if a member with this score is below all ranks. */
static gboolean
place_is_below_cutoff (const PlaceGroup *group, gboolean home, guint64 score)
{
  const PlaceRank *last = &group->ranks[TOU_PLACE_RANKED - 1];

  if (group->n_ranks < TOU_PLACE_RANKED || home > last->home)
    return FALSE;
  return home < last->home || score < last->score;
}

/* Ranks all live members, with one hash and one comparison for most. */
static void
place_rank_all (TouPlace *place, PlaceGroup *group)
{
  guint64 home_hash = place_name_hash (&group->home_region);

  if (place->members_version != tou_member_live_version (place->ctx->member))
    place_copy_members (place);
  group->n_ranks = 0;
  group->complete = TRUE;
  group->outdated = TRUE;
  for (guint i = 0; i < place->members->len; i++)
    {
      const PlaceMember *copy = &g_array_index (place->members, PlaceMember, i);
      gboolean home = copy->region_hash == home_hash;
      guint64 score = place_score (group, copy->name_hash);
      const TouMemberUpdate *update;

      if (place_is_below_cutoff (group, home, score))
        {
          group->complete = FALSE;
          continue;
        }
      update = tou_member_at (place->ctx->member, copy->index);
      place_insert (group, &(PlaceScored){ home, score, &update->name,
                                           &update->failure_domain });
    }
}

/* Applies the changes since the cached version. Returns FALSE if all members
   must be ranked again. */
static gboolean
place_apply_changes (const TouMember *member, PlaceGroup *group,
                     guint64 version)
{
  while (group->version < version)
    {
      const TouMemberLiveChange *live
          = tou_member_live_change (member, group->version + 1);

      if (live == NULL)
        return FALSE;
      place_remove (group, &live->name);
      if (live->joined)
        place_insert (
            group,
            &(PlaceScored){ tou_name_equal (&live->region, &group->home_region),
                            place_score (group, live->name_hash), &live->name,
                            &live->failure_domain });
      group->version++;
    }
  return group->complete || group->n_ranks >= TOU_MAX_CANDIDATES;
}

static gboolean
place_domain_is_covered (const TouPlacement *placement, const PlaceGroup *group,
                         guint candidate)
{
  for (guint i = 0; i < candidate; i++)
    if (tou_name_equal (&group->ranks[i].failure_domain,
                        &group->ranks[candidate].failure_domain))
      return TRUE;
  return placement->n_observers == TOU_OBSERVERS;
}

static gboolean
place_has_observer (const TouPlacement *placement, const TouName *name)
{
  for (guint i = 0; i < placement->n_observers; i++)
    if (tou_name_equal (&placement->observers[i], name))
      return TRUE;
  return FALSE;
}

/* Selects the first candidate of each failure domain, then the other
   candidates in order. */
static void
place_choose_observers (PlaceGroup *group)
{
  TouPlacement *placement = &group->placement;

  for (guint i = 0; i < placement->n_candidates; i++)
    if (!place_domain_is_covered (placement, group, i))
      placement->observers[placement->n_observers++] = placement->candidates[i];
  for (guint i = 0; i < placement->n_candidates; i++)
    if (placement->n_observers < TOU_OBSERVERS
        && !place_has_observer (placement, &placement->candidates[i]))
      placement->observers[placement->n_observers++] = placement->candidates[i];
}

static void
place_refresh (TouPlace *place, PlaceGroup *group)
{
  const TouMember *member = place->ctx->member;
  guint64 version = tou_member_live_version (member);
  guint limit = MIN (place->ctx->settings.gate_candidates, TOU_MAX_CANDIDATES);

  if (group->version == 0 || !place_apply_changes (member, group, version))
    place_rank_all (place, group);
  group->version = version;
  if (!group->outdated)
    return;
  group->outdated = FALSE;
  group->placement = (TouPlacement){ 0 };
  group->placement.n_candidates = MIN (group->n_ranks, limit);
  for (guint i = 0; i < group->placement.n_candidates; i++)
    group->placement.candidates[i] = group->ranks[i].name;
  place_choose_observers (group);
}

const TouPlacement *
tou_place_group (TouPlace *place, const TouGroupConfig *config)
{
  PlaceGroup *group = g_hash_table_lookup (place->groups, &config->name);

  if (group == NULL)
    {
      group = g_new0 (PlaceGroup, 1);
      group->name = config->name;
      group->hash = place_name_hash (&config->name);
      g_hash_table_insert (place->groups, &group->name, group);
    }
  if (!tou_name_equal (&group->home_region, &config->home_region))
    {
      group->home_region = config->home_region;
      group->version = 0;
    }
  if (group->version != tou_member_live_version (place->ctx->member))
    place_refresh (place, group);
  return &group->placement;
}

gboolean
tou_place_is_gate (TouPlace *place, const TouGroupConfig *config)
{
  const TouPlacement *placement;

  if (!tou_feed_is_current (place->ctx->feed))
    return FALSE;
  placement = tou_place_group (place, config);
  return placement->n_candidates > 0
         && tou_name_equal (&placement->candidates[0],
                            &place->ctx->settings.node);
}

gboolean
tou_place_is_observer (TouPlace *place, const TouGroupConfig *config)
{
  return place_has_observer (tou_place_group (place, config),
                             &place->ctx->settings.node);
}
