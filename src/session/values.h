/**
 * @file values.h
 * Session values, and the steps that synchronize a link with a session.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

void tou_values_init (TouSqlValues *values);
void tou_values_clear (TouSqlValues *values);
guint tou_values_count (const TouSqlValues *values);
/** Removes all values. */
void tou_values_reset (TouSqlValues *values);
void tou_values_set (TouSqlValues *values, TouSlice name, TouSlice value);

/** Maximum number of values of a session, and of bytes of all of them. */
#define TOU_VALUES_MAX 256
#define TOU_VALUES_MAX_BYTES ((gsize)2 << 20)

/** FALSE if setting the value would exceed a limit. */
gboolean tou_values_have_room (const TouSqlValues *values, TouSlice name,
                               TouSlice value);

typedef enum
{
  TOU_VALUES_EQUAL,
  TOU_VALUES_SET,  /**< the target's value at @a index must be set */
  TOU_VALUES_RESET /**< the link has a value that the target lacks */
} TouValuesStep;

/** Returns the next step that makes @a current equal to @a target. */
TouValuesStep tou_values_next_step (const TouSqlValues *current,
                                    const TouSqlValues *target, guint *index);

G_END_DECLS
