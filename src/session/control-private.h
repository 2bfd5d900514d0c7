/**
 * @file control-private.h
 * State of the control module, shared by its files (internal).
 */
#pragma once

#include "control.h"
#include "follow.h"
#include "handover.h"
#include "log-set.h"

G_BEGIN_DECLS

/** Store keys. */
#define CONTROL_LEADER_KEY "tou/leader"
#define CONTROL_GROUP_PREFIX "tou/group/"
#define CONTROL_LOGS_PREFIX "tou/logs/"
#define CONTROL_PANEL_KEY "tou/panel"
#define CONTROL_ERA_KEY "tou/era"

/* Logs that may have acknowledged commits; see control-logs.c. */
typedef struct
{
  TouLogSet *known;
  TouLogSet *stored;       /* latest set read from or written to the store */
  guint64 stored_revision; /* 0: none */
  gboolean writing;
  guint64 retry_after_us;
  guint64 logged_us;     /* last log line that the selection waits */
  TouLogSet *superseded; /* those that are not registered, and whose commits
                            enough of the others have */
  TouLogSet *checked;    /* the others that are not registered */
  TouLogCheck check;     /* whether these are superseded */
} ControlLogs;

typedef struct
{
  TouControl *control;
  TouGroup *group;
  TouHandover *handover;
  guint64 status_requested_us;
  guint64 step_down_us;
  TouGroupRecord stored; /* latest one read from or written to the store */
  gboolean restoring;    /* a record that the store has lost is being written */
  GArray *endpoints;     /* of TouHandoverEndpoint: those of the last view */
  ControlLogs logs;
} ControlGroup;

/* What the store had in the current era; see control-restore.c. */
typedef struct
{
  guint64 first_era;    /* the first one since the start */
  guint64 era_since_us; /* when the current one was first seen */
  guint64 marked_era;   /* era whose records a leader has checked */
  guint64 writing_era;  /* era of the mark that is being written */
  guint64 retry_after_us;
  TouPanel stored_panel; /* latest one read from or written to the store */
  gboolean has_mark;     /* the store has the key of marked_era */
  gboolean writing;      /* the mark is being written */
} ControlRestore;

struct TouControl
{
  TouProxy *proxy;
  PlatStore *store;
  TouPeers *peers;
  GHashTable *groups; /* TouName to ControlGroup */

  gboolean connected;
  gboolean store_out;    /* the store is unavailable to this node */
  guint64 store_back_us; /* when the store answered again after an outage */
  guint64 era;           /* highest one of the store's responses */
  ControlRestore restore;
  gboolean listing;
  gboolean must_list;
  guint64 synced_us; /* when the store was first read */
  guint64 retry_after_us;
  guint64 retry_pause_us;  /* after the next failed list or watch */
  TouFollow follow;        /* of the store's changes */
  guint64 list_revision;   /* revision of the first page of the list */
  GHashTable *listed_keys; /* keys received in the current list */
  /* TouName of an endpoint whose record names no database to the reason. */
  GHashTable *unreadable;

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
  guint64 panel_wanted_us;      /* since when it needs one; 0: it does not */
  guint64 panel_acked_us;       /* when a majority of the previous one had it */
  guint64 panel_acked_revision; /* panel that panel_acked_us is about */
};

/**
 * Counts a finished call and updates whether the store is connected and which
 * era it is in.
 */
void tou_control_count_reply (TouControl *control, const PlatStoreReply *reply,
                              const char *call);

/** Finds or creates the state of a group. */
ControlGroup *tou_control_group (TouControl *control, TouGroup *group);

/** The store has @a record; adopts it if the store is trusted. */
void tou_control_store_record (ControlGroup *state,
                               const TouGroupRecord *record);
/** The store has @a panel; adopts it if the store is trusted. */
void tou_control_store_panel (TouControl *control, const TouPanel *panel);

/**
 * TRUE if no record in the store is older than one that it had before. After
 * the store was restored from a copy, that is so once a leader has written what
 * is missing and marked the era.
 */
gboolean tou_control_trusts_store (const TouControl *control);
/** TRUE if a leader has marked the current era. */
gboolean tou_control_is_marked (const TouControl *control);
/** The store's key says that @a era is checked. */
void tou_control_mark (TouControl *control, guint64 era);
/** Adopts the store's records and panel if the store is trusted. */
void tou_control_adopt_stored (TouControl *control);
/**
 * While this node is the leader of an era without a mark, writes records and
 * the panel that the store has lost, then the mark.
 */
void tou_control_run_restore (TouControl *control, guint64 now_us);

/** TRUE while this node is the leader and the previous one has ended. */
gboolean tou_control_leads (const TouControl *control, guint64 now_us);
/** TRUE if this node leads and the store's records are checked. */
gboolean tou_control_may_act (const TouControl *control, guint64 now_us);

/**
 * Writes @a panel in place of the one with the revision @a replaced, and adopts
 * it on success.
 */
void tou_control_write_panel (TouControl *control, const TouPanel *panel,
                              guint64 replaced);

/**
 * Changes the panel while this node is the leader: replaces members that have
 * failed, and completes a change once the previous panel is obsolete.
 */
void tou_control_run_panel (TouControl *control, guint64 now_us);

void tou_control_init_logs (ControlLogs *logs);
void tou_control_clear_logs (ControlLogs *logs);
/** The store has @a item, the logs of a group. */
void tou_control_store_logs (ControlGroup *state, const PlatStoreItem *item);
/** Fills in the fields about logs; those about endpoints are complete. */
void tou_control_fill_logs (const ControlGroup *state, TouHandoverView *view,
                            guint64 now_us);
/**
 * While this node may act, adds the logs of registered databases, and removes
 * those that have ended and are no longer needed.
 *
 * @return TRUE if the databases' statuses are needed for that
 */
gboolean tou_control_run_logs (ControlGroup *state, guint64 now_us);
/**
 * Forgets which logs are superseded: a node that is not the leader does not
 * check them, and their databases may return meanwhile.
 */
void tou_control_reset_logs (ControlGroup *state);
/** Writes a log line while a selection waits for logs. */
void tou_control_report_logs (ControlGroup *state, const TouHandoverView *view,
                              guint64 now_us);

/** Runs the changes of primary while this node is the leader. */
void tou_control_run_groups (TouControl *control, guint64 now_us);

/** TRUE if this node reaches those whose answers a change of primary needs. */
gboolean tou_control_reaches_voters (const TouControl *control, guint64 now_us);

G_END_DECLS
