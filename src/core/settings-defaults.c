#include "toucanscale/core.h"

/* A probe fails after three timeouts: one for the direct ping and two for the
 * relayed one. */
#define TOU_DEFAULT_PING_TIMEOUT_US (100 * TOU_US_PER_MS)
/* The store normally answers within milliseconds; a later answer is treated as
 * lost. */
#define TOU_DEFAULT_STORE_TIMEOUT_US (500 * TOU_US_PER_MS)
#define TOU_DEFAULT_IDEMPOTENCY_TTL_US (86400 * TOU_US_PER_S) /* 24 h */
#define TOU_DEFAULT_QUEUE_LIMIT 256
/* More than the 2,900 client connections of one proxy (design 1.6). */
#define TOU_DEFAULT_PENDING_LIMIT 4096
#define TOU_DEFAULT_TXN_LIMIT 64
#define TOU_DEFAULT_STATEMENT_LIMIT 65536 /* bytes */

void
tou_core_settings_init (TouCoreSettings *settings)
{
  *settings = (TouCoreSettings){
    .ping_interval_us = 200 * TOU_US_PER_MS,
    .ping_timeout_us = TOU_DEFAULT_PING_TIMEOUT_US,
    .suspicion_timeout_us = TOU_US_PER_S,
    .report_interval_us = 100 * TOU_US_PER_MS,
    .suspect_after_us = 400 * TOU_US_PER_MS,
    .fence_grace_us = 50 * TOU_US_PER_MS,
    .claim_timeout_us = TOU_US_PER_S,
    .failover_hold_us = 2 * TOU_US_PER_S,
    .store_timeout_us = TOU_DEFAULT_STORE_TIMEOUT_US,
    .watcher_lease_us = 5 * TOU_US_PER_S,
    .vm_list_interval_us = 500 * TOU_US_PER_MS,
    .session_wait_us = 50 * TOU_US_PER_MS,
    .txn_idle_us = 10 * TOU_US_PER_S,
    .drain_timeout_us = 30 * TOU_US_PER_S,
    .drain_delay_us = 2 * TOU_US_PER_S,
    .idempotency_ttl_us = TOU_DEFAULT_IDEMPOTENCY_TTL_US,
    .gate_candidates = 8,
    .watchers_per_region = 2,
    .queue_limit = TOU_DEFAULT_QUEUE_LIMIT,
    .pending_limit = TOU_DEFAULT_PENDING_LIMIT,
    .txn_limit = TOU_DEFAULT_TXN_LIMIT,
    .statement_limit = TOU_DEFAULT_STATEMENT_LIMIT,
  };
}
