/**
 * @file control-private.h
 * State of the control module, shared by control.c and control-duty.c
 * (internal).
 */
#pragma once

#include "control.h"
#include "handover.h"

G_BEGIN_DECLS

/** Keys of the module in the store. */
#define CONTROL_LEADER_KEY "tou/leader"
#define CONTROL_GROUP_PREFIX "tou/group/"

typedef struct
{
  TouControl *control;
  TouGroup *group;
  TouHandover *handover;
  guint64 asked_us;
  guint64 stepped_us;
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
  guint64 retry_us;
  guint64 revision;      /* events up to it are applied */
  guint64 list_revision; /* store's revision at the list's first page */
  GHashTable *listed;    /* keys of the list so far */

  gboolean registering;
  gboolean registered;
  guint64 register_us;

  gboolean proving;
  guint64 proved_us;

  gboolean leader_known;  /* somebody holds the duty */
  guint64 leader_free_us; /* since when nobody does */
  gboolean electing;
  guint64 elect_us; /* no attempt before */
  guint64 lease;
  gboolean leading;
  guint64 token; /* revision of the leader key */
  guint64 lead_since_us;
  guint64 lease_until_us;
  guint64 renew_us;
  gboolean removing;
};

/** Counts an answered call and notes whether the store is reached. */
void tou_control_heard (TouControl *control, PlatStoreResult result,
                        const char *call);

/** Runs the changes of primary while this node holds the duty. */
void tou_control_run_groups (TouControl *control, guint64 now_us);

G_END_DECLS
