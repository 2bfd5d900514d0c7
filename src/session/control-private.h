/**
 * @file control-private.h
 * State of the control module, shared by control.c and control-leader.c
 * (internal).
 */
#pragma once

#include "control.h"
#include "handover.h"

G_BEGIN_DECLS

/** Store keys. */
#define CONTROL_LEADER_KEY "tou/leader"
#define CONTROL_GROUP_PREFIX "tou/group/"

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
  gboolean listing;
  gboolean watching;
  gboolean must_list;
  guint64 retry_after_us;
  guint64 revision;        /* last revision applied */
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
  guint64 elect_after_us; /* no election before this time */
  guint64 lease;
  gboolean is_leader;
  guint64 token; /* fencing token: revision of the leader key */
  guint64 leader_since_us;
  guint64 lease_until_us;
  guint64 renew_us;
  gboolean removing;
};

/** Counts a finished call and updates whether the store is connected. */
void tou_control_count_reply (TouControl *control, PlatStoreResult result,
                              const char *call);

/** Runs the changes of primary while this node is the leader. */
void tou_control_run_groups (TouControl *control, guint64 now_us);

G_END_DECLS
