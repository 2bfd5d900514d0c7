/**
 * @file authority.h
 * Whether this node may use a group's primary.
 *
 * A node uses the primary of a group record for TOU_AUTHORITY_VALID_US after a
 * proof that no later record exists: a read of the store, or answers of a
 * majority of the voters (see panel.h). A promotion waits until every node has
 * acknowledged the record that announces it, or until TOU_AUTHORITY_VALID_US
 * after a majority of the voters has. From then on no node uses the old
 * primary.
 */
#pragma once

#include "toucanscale/types.h"

G_BEGIN_DECLS

/**
 * Validity of a proof: five heartbeat intervals. A change of primary takes
 * this much longer if a node does not acknowledge it.
 */
#define TOU_AUTHORITY_VALID_US (1000 * TOU_US_PER_MS)

/**
 * A leader that receives heartbeats from a majority removes nodes that have
 * sent none for this long. The unreachable nodes are a minority, whose proofs
 * to each other are not valid.
 */
#define TOU_AUTHORITY_REMOVE_US (6 * TOU_US_PER_S)
/**
 * Members of a panel that do not hear all nodes vouch for their records until
 * they last followed the store this long ago.
 */
#define TOU_AUTHORITY_STORE_TIMEOUT_US (60 * TOU_US_PER_S)
/**
 * The same for members that hear all nodes that they know: there may be a
 * leader among later nodes.
 */
#define TOU_AUTHORITY_COMPLETE_TIMEOUT_US (3600 * TOU_US_PER_S)

/** The store's record of a group. */
typedef struct
{
  guint64 revision; /**< 0: no record */
  guint64 term;
  TouName primary;
  gboolean moving;   /**< a change of primary is under way */
  TouName candidate; /**< next primary, empty until selected */
} TouGroupRecord;

/** TRUE if the records differ in their revisions only. */
gboolean tou_group_record_equal (const TouGroupRecord *a,
                                 const TouGroupRecord *b);
/**
 * Returns the record that was written later, as far as their contents tell. A
 * change of primary that may be under way is continued, which is always safe.
 */
const TouGroupRecord *tou_group_record_later (const TouGroupRecord *a,
                                              const TouGroupRecord *b);

typedef struct TouAuthority TouAuthority;

int tou_authority_create (TouAuthority **out);
void tou_authority_destroy (TouAuthority *authority);

/**
 * Adopts @a record if its revision is higher than the current one's. Proofs of
 * an equal record are kept: they show that no later one existed.
 *
 * @return TRUE if it was adopted and differs from the current one
 */
gboolean tou_authority_adopt (TouAuthority *authority,
                              const TouGroupRecord *record);

const TouGroupRecord *tou_authority_record (const TouAuthority *authority);

/** Adds a proof: a read sent at @a at_us returned @a revision. */
void tou_authority_prove_by_store (TouAuthority *authority, guint64 revision,
                                   guint64 at_us);

/**
 * Adds a proof: at @a at_us or later, the latest record of @a node had
 * @a revision.
 */
void tou_authority_prove_by_node (TouAuthority *authority, const TouName *node,
                                  guint64 revision, guint64 at_us);

/**
 * Removes the proofs of nodes that are not in @a voters. What these have proved
 * so far stays proved.
 */
void tou_authority_set_voters (TouAuthority *authority, const TouName *voters,
                               guint n_voters);

/**
 * Returns the time of the newest proof, or 0.
 *
 * @param n_required number of other nodes whose answers are a proof; 0: none
 */
guint64 tou_authority_proved_us (TouAuthority *authority, guint n_required,
                                 guint64 now_us);

/**
 * Returns TRUE if a node may be removed from the registry.
 *
 * @param n_reporting nodes with a recent heartbeat, including this one
 * @param since_heartbeat_us time since the node's last heartbeat
 */
gboolean tou_authority_may_remove_node (guint n_nodes, guint n_reporting,
                                        guint64 since_heartbeat_us);

/**
 * Returns TRUE if a member of the panel vouches for its records.
 *
 * @param n_reporting nodes that hear this one and answer, including this one
 * @param since_followed_us time since the store's changes were last read
 */
gboolean tou_authority_vouches (guint n_nodes, guint n_reporting,
                                guint64 since_followed_us);

/**
 * Returns TRUE if a member of a replaced panel no longer vouches to nodes with
 * that panel, although it has not acknowledged the new one.
 *
 * @param knows_leader it is known to count the caller among all nodes
 * @param since_us time since its last heartbeat and since the new panel, which
 *        it would have if it had followed the store after that
 */
gboolean tou_authority_has_expired (gboolean knows_leader, guint64 since_us);

/** Returns TRUE if the record's primary may be used at @a now_us. */
gboolean tou_authority_is_valid (TouAuthority *authority, guint n_required,
                                 guint64 now_us);

G_END_DECLS
