/**
 * @file panel.h
 * The panel: the few nodes whose answers prove that a group record is the
 * latest one.
 *
 * Pattern: a set of voters that is agreed on, not derived. Nodes that count a
 * majority of the nodes that each of them sees may have lists without a common
 * majority, for example while the store turns some of them away. And if any
 * majority of hundreds of nodes could prove a record, every node would exchange
 * heartbeats with every other one; a panel of constant size makes their number
 * per node constant.
 *
 * The leader changes the panel in the store, in two steps. After the first, the
 * panel is joint: nodes that have not received it may still use proofs of the
 * previous panel, so a change of primary needs a majority of both. After the
 * second, no node can obtain a proof of the previous panel, because a majority
 * of it has the new panel, and nodes accept no proof of a node with a later
 * panel than their own. Before the first panel, only the store proves records.
 */
#pragma once

#include "gateway.h"

#include "toucanscale/str.h"

G_BEGIN_DECLS

/** Maximum number of members; two of them may fail. */
#define TOU_PANEL_SIZE 5

/** The store's record of the panel. */
typedef struct
{
  guint64 revision; /**< 0: no panel */
  guint n_members;
  TouName members[TOU_PANEL_SIZE];
  gboolean joint;   /**< the previous panel may still prove records */
  guint n_previous; /**< of a joint panel; else 0 */
  TouName previous[TOU_PANEL_SIZE];
} TouPanel;

/** How many voters of a joint panel have done what the leader waits for. */
typedef struct
{
  guint n_members;  /**< of the panel */
  guint n_previous; /**< of the previous panel */
} TouPanelVotes;

/** TRUE if @a node is a member; FALSE without a panel. */
gboolean tou_panel_contains (const TouPanel *panel, const TouName *node);

/** TRUE if @a node was a member of the previous panel of a joint one. */
gboolean tou_panel_is_previous (const TouPanel *panel, const TouName *node);

/**
 * Returns the number of other nodes whose answers prove a record to @a self; 0:
 * they cannot.
 */
guint tou_panel_required (const TouPanel *panel, const TouName *self);

/**
 * Returns TRUE if @a votes include a majority of the panel and, if it is joint,
 * of the previous one; TRUE also without a panel, when no node can prove a
 * record.
 */
gboolean tou_panel_has_majority (const TouPanel *panel,
                                 const TouPanelVotes *votes);

/** TRUE if one of the nodes is alive and not draining. */
gboolean tou_panel_can_replace (const TouGatewayNode *nodes, guint n_nodes);

/**
 * Selects a panel, spread over the failure domains, without members that are
 * not registered, have expired, or are draining while other nodes are not. It
 * is smaller than TOU_PANEL_SIZE if there are fewer nodes.
 *
 * @param nodes registered nodes, as the leader sees them
 * @param out the panel to write, without a revision; joint unless it is the
 * first one
 * @return FALSE if the current one need not or cannot be replaced
 */
gboolean tou_panel_choose (TouPanel *out, const TouPanel *current,
                           const TouGatewayNode *nodes, guint n_nodes);

/** TRUE if the panels differ in their revisions only. */
gboolean tou_panel_equal (const TouPanel *a, const TouPanel *b);
/** TRUE if @a panel was written after @a previous, in its place. */
gboolean tou_panel_follows (const TouPanel *panel, const TouPanel *previous);

/** Encodes a panel as a store value; free the result with free(). */
char *tou_panel_encode (const TouPanel *panel);
/** Decodes a store value. @return TOU_E_INVALID_JSON if it is not a panel */
int tou_panel_decode (TouPanel *out, const TouStr *value);

G_END_DECLS
