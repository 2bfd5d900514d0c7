/**
 * @file config-parse.h
 * Parser of configuration values; internal to the config module.
 */
#pragma once

#include "config.h"

#include <jansson.h>

G_BEGIN_DECLS

/** Optional fields of defaults and exceptions; an unset field is -1. */
typedef struct
{
  gint64 max_age_ms;
  gint64 max_lag_ms;
  gint64 deadline_ms[TOU_RANK_COUNT];
  gint64 floor_percent[TOU_RANK_COUNT];
} TouOverride;

/** Sets every field to -1 (unset). */
void tou_override_init (TouOverride *override);

/** Copies the fields that are set in @a override to @a defaults. */
void tou_override_apply (const TouOverride *override, TouDefaults *defaults);

/**
 * Parsers of JSON values; on an error they return TOU_E_CONFIG_INVALID and set
 * the last message.
 *
 * @param min_connections smallest permitted connection_limit
 */
int tou_config_parse_group (TouGroupConfig *out, const TouName *name,
                            guint min_connections, const json_t *value);
int tou_config_parse_staleness (TouOverride *out, const json_t *value);
int tou_config_parse_ranks (TouOverride *out, const json_t *value);
int tou_config_parse_exception (TouName *group, TouOverride *out,
                                const json_t *value);

G_END_DECLS
