/**
 * @file core.h
 * The decision core: typed events in, typed actions out, no I/O.
 */
#pragma once

#include "toucanscale/event.h"

G_BEGIN_DECLS

/** Maximum number of seed addresses. */
#define TOU_MAX_SEEDS 16

/** Settings of one core; tou_core_settings_init () sets the defaults. */
typedef struct
{
  TouName node;
  TouName region;
  TouName failure_domain;
  TouName peer_address; /**< "ip:port" that other proxies connect to */
  guint64 incarnation;  /**< increases with every start of the proxy */
  guint n_seeds;
  TouName seeds[TOU_MAX_SEEDS];

  guint64 ping_interval_us;
  guint64 ping_timeout_us;
  guint64 suspicion_timeout_us;
  guint64 report_interval_us;
  guint64 suspect_after_us;
  guint64 fence_grace_us;
  guint64 claim_timeout_us;
  guint64 failover_hold_us;
  guint64 store_timeout_us;
  guint64 watcher_lease_us;
  guint64 vm_list_interval_us;
  guint64 session_wait_us;
  guint64 txn_idle_us;
  guint64 drain_timeout_us;
  guint64 drain_delay_us; /**< time between leaving and refusing requests,
                             in which the load balancer stops sending */
  guint64 idempotency_ttl_us;
  guint gate_candidates;
  guint watchers_per_region;
  guint queue_limit;     /**< queued requests per rank and database */
  guint pending_limit;   /**< client requests in progress on this proxy */
  guint txn_limit;       /**< open transactions per group */
  guint statement_limit; /**< bytes of a statement with its parameters */
} TouCoreSettings;

/** Sets the defaults; names and addresses stay empty. */
void tou_core_settings_init (TouCoreSettings *settings);

/** The decision core; it uses no threads, clocks or sockets. */
typedef struct TouCore TouCore;

/** Creates a core; the same @a seed gives the same random choices. */
int tou_core_create (TouCore **out, const TouCoreSettings *settings,
                     guint64 now_us, guint64 seed);

/**
 * Applies one event and appends the resulting actions.
 *
 * @param core core that the event is applied to
 * @param now_us monotonic time in microseconds; must not decrease
 * @param event cleared on return, also on error
 * @param actions list to append to; actions own their payload
 */
int tou_core_step (TouCore *core, guint64 now_us, TouEvent *event,
                   TouActionList *actions);

/** Returns the time at which the core needs its next TOU_EVENT_TICK. */
guint64 tou_core_next_tick (const TouCore *core);

/** Frees the core and its pending requests without replying to them; NULL
 * is ignored. */
void tou_core_destroy (TouCore *core);

G_END_DECLS
