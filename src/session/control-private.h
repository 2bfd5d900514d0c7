/**
 * @file control-private.h
 * State of the control module, shared by control.c and control-leader.c
 * (internal).
 */
#pragma once

#include "control.h"
#include "follow.h"
#include "handover.h"

G_BEGIN_DECLS

/** Store keys. */
#define CONTROL_LEADER_KEY "tou/leader"
#define CONTROL_GROUP_PREFIX "tou/group/"
#define CONTROL_PANEL_KEY "tou/panel"

typedef struct
{
  TouControl *control;
  TouGroup *group;
  TouHandover *handover;
  guint64 status_requested_us;
  guint64 step_down_us;
} ControlGroup;

struct TouControl
{
  TouProxy *proxy;
  PlatStore *store;
  TouPeers *peers;
  GHashTable *groups; /* TouName to ControlGroup */

  gboolean connected;
  guint64 era; /* highest one of the store's responses */
  gboolean listing;
  gboolean must_list;
  guint64 synced_us; /* when the store was first read */
  guint64 retry_after_us;
  guint64 retry_pause_us;  /* after the next failed list or watch */
  TouFollow follow;        /* of the store's changes */
  guint64 list_revision;   /* revision of the first page of the list */
  GHashTable *listed_keys; /* keys received in the current list */

  gboolean registering;
  gboolean registered;
  guint64 register_after_us;

  gboolean proving;
  guint64 proved_us;

  gboolean leader_key_exists;
  guint64 leader_absent_since_us; /* when the leader key was found missing */
  gboolean electing;
  guint64 election_era;   /* era in which the lease was requested */
  guint64 elect_after_us; /* no election before this time */
  guint64 lease;
  gboolean is_leader;
  guint64 token; /* fencing token: revision of the leader key */
  guint64 leader_since_us;
  guint64 lease_until_us;
  guint64 renew_us;
  guint64 majority_us; /* when half of the nodes were last heard */
  gboolean removing;
  guint64 removed_us; /* when a node was last removed; 0: never */

  gboolean writing_panel;
  guint64 panel_after_us;       /* no change of the panel before this time */
  guint64 panel_acked_us;       /* when a majority of the previous one had it */
  guint64 panel_acked_revision; /* panel that panel_acked_us is about */
};

/**
 * Counts a finished call and updates whether the store is connected and which
 * era it is in.
 */
void tou_control_count_reply (TouControl *control, const PlatStoreReply *reply,
                              const char *call);

/** TRUE while this node is the leader and the previous one has ended. */
gboolean tou_control_may_act (const TouControl *control, guint64 now_us);

/**
 * Changes the panel while this node is the leader: replaces members that have
 * failed, and completes a change once the previous panel is obsolete.
 */
void tou_control_run_panel (TouControl *control, guint64 now_us);

/** Runs the changes of primary while this node is the leader. */
void tou_control_run_groups (TouControl *control, guint64 now_us);

G_END_DECLS
