/**
 * @file config.h
 * Parsed configuration: groups, fleet-wide defaults and exceptions.
 *
 * A stored value is the envelope
 *
 *     {"value": ..., "author": "...", "reason": "...", "time": ms,
 *      "change": "..."}
 *
 * A null value marks a deleted entry. Unknown fields are rejected. Names and
 * ids consist of 1 to 79 letters, digits, '-', '_' and '.'. The values:
 *
 *     config/group/<name>
 *       {"home_region": "r1", "slots": 3, "connection_limit": 20,
 *        "endpoints": [{"name": "a1", "address": "10.0.0.1:5432",
 *                       "region": "r1", "failure_domain": "r1-a"}, ...]}
 *     config/default/staleness
 *       {"max_age_ms": 1000, "max_lag_ms": 5000}
 *     config/default/ranks
 *       {"urgent": {"deadline_ms": 2000, "floor_percent": 0},
 *        "review": {...}, "status": {...}}
 *     config/exception/<id>
 *       {"group": "<name>", "staleness": {...}, "ranks": {...}}
 *
 * Fields of staleness and ranks are optional, and so are the two parts of an
 * exception, of which at least one must be present. If several exceptions set
 * the same field for a group, the one with the greatest id takes effect.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

/** Feed keys, without the store prefix. */
#define TOU_CONFIG_GROUP_PREFIX "config/group/"
#define TOU_CONFIG_DEFAULT_PREFIX "config/default/"
#define TOU_CONFIG_EXCEPTION_PREFIX "config/exception/"

/** Maximum bytes of a value; an entry must fit into one message to a proxy. */
#define TOU_CONFIG_MAX_VALUE 32768

typedef struct
{
  TouName name;
  TouName address; /**< "ip:port" */
  TouName region;
  TouName failure_domain;
} TouEndpoint;

/** A database group. */
typedef struct
{
  TouName name;
  TouName home_region;
  guint n_endpoints;
  TouEndpoint endpoints[TOU_GROUP_MAX_ENDPOINTS];
  guint slots;            /**< concurrent statements per database */
  guint connection_limit; /**< connections per database, all clients */
  guint64 revision;
} TouGroupConfig;

/** Defaults set by operators; exceptions override them for one group. */
typedef struct
{
  guint64 max_age_us; /**< read age if the client states none */
  guint64 max_lag_us; /**< replicas with a higher lag are withdrawn */
  guint64 deadline_us[TOU_RANK_COUNT]; /**< used if the client states none */
  guint floor_percent[TOU_RANK_COUNT]; /**< guaranteed share of slots */
} TouDefaults;

int tou_config_create (TouConfig **out, TouContext *ctx);
void tou_config_destroy (TouConfig *config);

/** Returns the group or NULL; valid until its entry changes. */
const TouGroupConfig *tou_config_group (const TouConfig *config,
                                        const TouName *name);

guint tou_config_n_groups (const TouConfig *config);

/** Returns group @a i in name order, i < tou_config_n_groups (). */
const TouGroupConfig *tou_config_group_at (const TouConfig *config, guint i);

/** Returns the index of @a endpoint in the group, or -1. */
int tou_group_endpoint_index (const TouGroupConfig *group,
                              const TouName *endpoint);

/** Returns the smallest number of databases that is a majority of the group. */
guint tou_group_majority (const TouGroupConfig *group);

/** Writes the defaults of @a group, with its exceptions applied, to @a out. */
void tou_config_defaults (const TouConfig *config, const TouName *group,
                          TouDefaults *out);

/** Changes whenever an applied entry changes the configuration. */
guint64 tou_config_version (const TouConfig *config);

/**
 * Applies a feed entry below "config/".
 *
 * @return TRUE if a group was added, changed or removed
 */
gboolean tou_config_apply (TouConfig *config, const TouEntry *entry);

/**
 * Validates an operator's change.
 *
 * Fails with TOU_E_CONFIG_INVALID or TOU_E_REASON_MISSING and sets the last
 * message.
 */
int tou_config_validate (const TouConfig *config,
                         const TouConfigChange *change);

G_END_DECLS
