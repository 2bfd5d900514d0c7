/**
 * @file dump.h
 * Dumps the state of one core as a JSON document for operators.
 */
#pragma once

#include "context.h"

G_BEGIN_DECLS

/** Formats the state of the core into @a out, without any secrets. */
void tou_dump_format (TouStr *out, const TouContext *ctx, gboolean ready);

G_END_DECLS
