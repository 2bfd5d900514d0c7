#include "settings-table.h"

#include "database.h"

#define FIELD_OFFSET(field) G_STRUCT_OFFSET (TouSettings, field)

/* Maximum length of free text in bytes. */
#define TEXT_MAX 1024

#define HOUR_MS G_GUINT64_CONSTANT (3600000)
#define KIB G_GUINT64_CONSTANT (1024)
#define MIB (1024 * KIB)

/* Minimum of --max-message: the largest result of the database service with the
   fields of its reply. 512 KiB hold a LEAVING message with 1,000 VMs whose
   names have the maximum length; the assertion keeps this room if the limit of
   results is lowered. */
#define MESSAGE_MIN (TOU_DATABASE_RESULT_MAX_BYTES + 64 * KIB)
G_STATIC_ASSERT (MESSAGE_MIN >= 512 * KIB);

#define SETTING(flag, type, field, min, max, default_value, required, help)    \
  {                                                                            \
    flag, help, default_value, FIELD_OFFSET (field), min, max, type, required  \
  }

/* A duration; range and default in milliseconds. */
#define MS(flag, field, min, max, default_value, help)                         \
  SETTING (flag, TOU_SETTING_MS, field, min, max, default_value, FALSE, help)

#define UINT(flag, field, min, max, default_value, help)                       \
  SETTING (flag, TOU_SETTING_UINT, field, min, max, default_value, FALSE, help)

#define BYTES(flag, type, field, min, max, default_value, help)                \
  SETTING (flag, type, field, min, max, default_value, FALSE, help)

/* A value without a numeric range. */
#define VALUE(flag, type, field, max, default_value, required, help)           \
  SETTING (flag, type, field, 1, max, default_value, required, help)

const TouSetting tou_settings_table[] = {
  VALUE ("node", TOU_SETTING_NAME, core.node, TOU_NAME_MAX, NULL, TRUE,
         "name of this proxy, unique in the fleet"),
  VALUE ("region", TOU_SETTING_NAME, core.region, TOU_NAME_MAX, NULL, TRUE,
         "region of this VM"),
  VALUE ("failure-domain", TOU_SETTING_NAME, core.failure_domain, TOU_NAME_MAX,
         NULL, TRUE, "failure domain of this VM"),
  VALUE ("callers-listen", TOU_SETTING_ADDRESS, callers_listen, TOU_NAME_MAX,
         "127.0.0.1:8080", FALSE, "address of the HTTP interface for callers"),
  VALUE ("operators-listen", TOU_SETTING_ADDRESS, operators_listen,
         TOU_NAME_MAX, "127.0.0.1:8081", FALSE,
         "address of the HTTP interface for operators"),
  VALUE ("peers-listen", TOU_SETTING_ADDRESS, peers_listen, TOU_NAME_MAX,
         "127.0.0.1:8082", FALSE, "address for messages from other proxies"),
  VALUE ("peer-address", TOU_SETTING_PEER, core.peer_address, TOU_NAME_MAX,
         NULL, FALSE,
         "address that other proxies connect to; if not set, that of "
         "--peers-listen"),
  VALUE ("seeds", TOU_SETTING_SEEDS, core.seeds, TOU_MAX_SEEDS, NULL, FALSE,
         "addresses of proxies to contact first, besides the VM list"),
  VALUE ("tls-cert-file", TOU_SETTING_FILE, tls_cert_file, TEXT_MAX, NULL,
         FALSE, "PEM certificate chain of both HTTP ports"),
  VALUE ("tls-key-file", TOU_SETTING_FILE, tls_key_file, TEXT_MAX, NULL, FALSE,
         "PEM private key of both HTTP ports"),
  VALUE ("curve-public-key", TOU_SETTING_Z85, curve_public_key, 0, NULL, FALSE,
         "CURVE public key of this proxy"),
  VALUE ("curve-secret-key", TOU_SETTING_Z85, curve_secret_key, 0, NULL, FALSE,
         "CURVE secret key of this proxy"),
  VALUE ("curve-accepted-keys", TOU_SETTING_Z85_LIST, curve_accepted_keys, 0,
         NULL, FALSE, "CURVE public keys of the proxies that may connect"),
  VALUE ("session-key", TOU_SETTING_HEX_KEY, token_keys, 0, NULL, TRUE,
         "key that authenticates session tokens, the same on all proxies"),
  VALUE ("session-key-previous", TOU_SETTING_HEX_KEY, token_keys, 0, NULL,
         FALSE, "previous key, accepted during a key rotation"),
  VALUE ("caller-token", TOU_SETTING_SECRET, caller_token, TEXT_MAX, NULL,
         FALSE, "bearer token of callers; if not set, they need none"),
  VALUE ("operator-token", TOU_SETTING_SECRET, operator_token, TEXT_MAX, NULL,
         TRUE, "bearer token of operators"),
  VALUE ("database-user", TOU_SETTING_TEXT, database_user, TEXT_MAX,
         "toucanscale", FALSE, "user name at the databases"),
  VALUE ("database-password", TOU_SETTING_SECRET, database_password, TEXT_MAX,
         NULL, FALSE, "password at the databases"),
  VALUE ("database-name", TOU_SETTING_TEXT, database_name, TEXT_MAX,
         "toucanscale", FALSE, "name of the database to connect to"),
  MS ("connect-timeout", connect_timeout_us, 10, 60000, "1000",
      "time limit for opening a database connection"),
  VALUE ("store-url", TOU_SETTING_URL, store_url, TEXT_MAX, NULL, TRUE,
         "base URL of the key-value store"),
  VALUE ("store-ca-file", TOU_SETTING_FILE, store_ca_file, TEXT_MAX, NULL,
         FALSE, "PEM file of the certificate authority of the store"),
  VALUE ("vm-list-url", TOU_SETTING_URL, vm_list_url, TEXT_MAX, NULL, FALSE,
         "full URL of the VM list"),
  MS ("ping-interval", core.ping_interval_us, 10, 60000, "200",
      "interval of membership pings"),
  MS ("ping-timeout", core.ping_timeout_us, 5, 30000, "100",
      "wait for an answer before other members are asked to ping"),
  MS ("suspicion-timeout", core.suspicion_timeout_us, 50, 600000, "1000",
      "time after which a suspect member is declared dead"),
  MS ("report-interval", core.report_interval_us, 10, 60000, "100",
      "interval of health checks of a group's databases"),
  MS ("suspect-after", core.suspect_after_us, 20, 600000, "400",
      "time without a report after which a primary is suspected"),
  MS ("fence-grace", core.fence_grace_us, 0, 60000, "50",
      "wait for the remaining databases once a majority is fenced"),
  MS ("claim-timeout", core.claim_timeout_us, 50, 600000, "1000",
      "time after which an incomplete failover may be taken over"),
  MS ("failover-hold", core.failover_hold_us, 0, HOUR_MS, "2000",
      "minimum pause between two failovers of a group"),
  MS ("store-timeout", core.store_timeout_us, 10, 60000, "500",
      "timeout of a call to the store"),
  MS ("watcher-lease", core.watcher_lease_us, 1000, HOUR_MS, "5000",
      "duration of a watcher's lease"),
  MS ("vm-list-interval", core.vm_list_interval_us, 50, 60000, "500",
      "polling interval of the VM list"),
  MS ("session-wait", core.session_wait_us, 0, 60000, "50",
      "time that a session read waits for a replica to catch up"),
  MS ("txn-idle", core.txn_idle_us, 100, HOUR_MS, "10000",
      "idle time after which a transaction is rolled back"),
  MS ("drain-timeout", core.drain_timeout_us, 0, HOUR_MS, "30000",
      "time limit for requests in flight during a drain"),
  MS ("drain-delay", core.drain_delay_us, 0, 600000, "2000",
      "time between leaving and refusing requests, in which the load "
      "balancer stops sending"),
  MS ("idempotency-ttl", core.idempotency_ttl_us, 1000, 720 * HOUR_MS,
      "86400000", "retention time of idempotency keys"),
  UINT ("gate-candidates", core.gate_candidates, 1, 64, "8",
        "number of proxies that may become the gate of a group"),
  UINT ("watchers-per-region", core.watchers_per_region, 1, 16, "2",
        "number of proxies per region that watch the store"),
  UINT ("queue-limit", core.queue_limit, 1, 100000, "256",
        "maximum queued requests per rank and database"),
  UINT ("pending-limit", core.pending_limit, 1, 1000000, "4096",
        "maximum requests of callers in progress on this proxy"),
  UINT ("txn-limit", core.txn_limit, 1, 100000, "64",
        "maximum open transactions per group"),
  BYTES ("statement-limit", TOU_SETTING_BYTES32, core.statement_limit, 64,
         16 * MIB, "65536",
         "maximum length of a statement with its parameters"),
  BYTES ("max-body", TOU_SETTING_BYTES, max_body, KIB, 64 * MIB, "262144",
         "maximum body of an HTTP request"),
  BYTES ("max-header", TOU_SETTING_BYTES, max_header, KIB, MIB, "16384",
         "maximum size of all headers of an HTTP request"),
  BYTES ("max-message", TOU_SETTING_BYTES, max_message, MESSAGE_MIN, 256 * MIB,
         "16777216", "maximum size of a message between proxies"),
  UINT ("max-connections", max_connections, 1, 20000, "4000",
        "maximum connections of callers"),
  UINT ("max-operator-connections", max_operator_connections, 1, 1000, "32",
        "maximum connections of operators"),
  UINT ("peer-buffer", peer_buffer, 1, 1000000, "1000",
        "maximum queued messages per peer"),
  UINT ("ring-capacity", ring_capacity, 16, 1000000, "4096",
        "capacity of each lane of an internal ring, in items"),
  MS ("max-deadline", max_deadline_us, 100, HOUR_MS, "60000",
      "maximum deadline of a caller's request"),
  MS ("idle-timeout", idle_timeout_us, 1000, HOUR_MS, "300000",
      "idle time after which an HTTP connection is closed"),
  VALUE ("log-level", TOU_SETTING_LEVEL, log_level, 0, "notice", FALSE,
         "least severe level that is logged"),
};

const guint tou_settings_count = G_N_ELEMENTS (tou_settings_table);
