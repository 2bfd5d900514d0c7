/**
 * @file place.h
 * Placement of gates and observers by rendezvous hashing.
 */
#pragma once

#include "config.h"
#include "member.h"

G_BEGIN_DECLS

/** Maximum number of observers of one group. */
#define TOU_OBSERVERS 3

/** Maximum number of candidates of one group. */
#define TOU_MAX_CANDIDATES 8

/** Placement of one group under the current membership. */
typedef struct
{
  guint n_candidates;
  TouName candidates[TOU_MAX_CANDIDATES]; /**< live, in rendezvous order */
  guint n_observers;
  TouName observers[TOU_OBSERVERS]; /**< one per failure domain if possible */
} TouPlacement;

int tou_place_create (TouPlace **out, TouContext *ctx);
void tou_place_destroy (TouPlace *place);

/**
 * Returns the placement of @a group; valid until the membership changes.
 *
 * Candidates are live members; those in the group's home region come first.
 */
const TouPlacement *tou_place_group (TouPlace *place,
                                     const TouGroupConfig *group);

/**
 * TRUE if this proxy is the first candidate of @a group. A starting proxy has
 * an incomplete member table, so it is no gate until its feed is current.
 */
gboolean tou_place_is_gate (TouPlace *place, const TouGroupConfig *group);

/** TRUE if this proxy observes @a group. */
gboolean tou_place_is_observer (TouPlace *place, const TouGroupConfig *group);

G_END_DECLS
