/**
 * @file authority.h
 * Whether this node may use a group's primary.
 *
 * A node uses the primary of a group record only for TOU_AUTHORITY_VALID_US
 * after a proof that no later record exists: a read of the store, or answers
 * of a majority of the nodes. A promotion waits until each node has
 * acknowledged the record that announces it, or until that time has passed
 * after a majority has; then no node uses the old primary.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/**
 * Validity of a proof: five heartbeats between nodes. A change of primary that
 * a node does not acknowledge takes this much longer.
 */
#define TOU_AUTHORITY_VALID_US (1000 * TOU_US_PER_MS)

/**
 * A node that hears a majority removes nodes that are silent for this long:
 * the silent ones are a minority and prove nothing to each other.
 */
#define TOU_AUTHORITY_REMOVE_US (6 * TOU_US_PER_S)
/**
 * Without a majority, silent nodes may prove a primary to each other until
 * their last contact with the store is this old.
 */
#define TOU_AUTHORITY_CONTACT_US (60 * TOU_US_PER_S)

/** The store's record of a group. */
typedef struct
{
  guint64 revision; /**< 0: there is no record */
  guint64 term;
  TouName primary;
  gboolean moving;   /**< a change of primary is under way */
  TouName candidate; /**< next primary, once it is chosen; else empty */
} TouGroupRecord;

typedef struct TouAuthority TouAuthority;

int tou_authority_create (TouAuthority **out);
void tou_authority_destroy (TouAuthority *authority);

/**
 * Adopts @a record unless an equal or newer one is known.
 *
 * @return TRUE if it was adopted
 */
gboolean tou_authority_adopt (TouAuthority *authority,
                              const TouGroupRecord *record);

const TouGroupRecord *tou_authority_record (const TouAuthority *authority);

/** The store was read at @a at_us and had the record with @a revision. */
void tou_authority_prove_by_store (TouAuthority *authority, guint64 revision,
                                   guint64 at_us);

/** @a node knew no record later than @a revision at @a at_us or after. */
void tou_authority_prove_by_node (TouAuthority *authority, const TouName *node,
                                  guint64 revision, guint64 at_us);

/**
 * Time of the newest proof, or 0.
 *
 * @param n_nodes all registered nodes, this one included
 */
guint64 tou_authority_proved_us (TouAuthority *authority, guint n_nodes,
                                 guint64 now_us);

/**
 * TRUE if a registered node may be removed from the registry.
 *
 * @param n_heard nodes heard from lately, the asking one included
 * @param silent_us time for which the node was not heard from
 */
gboolean tou_authority_may_remove_node (guint n_nodes, guint n_heard,
                                        guint64 silent_us);

/**
 * TRUE if answers of nodes count as proofs.
 *
 * @param contact_us age of the last contact with the store
 */
gboolean tou_authority_nodes_count (guint n_nodes, guint n_heard,
                                    guint64 contact_us);

/** TRUE if the record's primary may be used at @a now_us. */
gboolean tou_authority_is_valid (TouAuthority *authority, guint n_nodes,
                                 guint64 now_us);

G_END_DECLS
