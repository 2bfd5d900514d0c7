/**
 * @file values.h
 * Session values, kept equal between a session and the link that serves it.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

void tou_values_init (TouSqlValues *values);
void tou_values_clear (TouSqlValues *values);
/** Removes all values. */
void tou_values_reset (TouSqlValues *values);
void tou_values_set (TouSqlValues *values, TouSlice name, TouSlice value);

typedef enum
{
  TOU_VALUES_EQUAL,
  TOU_VALUES_SET,  /**< the value at @a index of the target must be set */
  TOU_VALUES_RESET /**< the link has a value that the target lacks */
} TouValuesStep;

/** Next step that makes the values @a have equal to @a target. */
TouValuesStep tou_values_step (const TouSqlValues *have,
                               const TouSqlValues *target, guint *index);

G_END_DECLS
