/**
 * @file unreachable.h
 * What a gateway says when it does not reach its database, and how fast the
 * other nodes try their other gateways.
 *
 * Pattern: many nodes lose a database, some gateways among them. A gateway
 * names the one that it uses itself, so that the others need not search.
 */
#pragma once

#include "sql.h"

G_BEGIN_DECLS

/** Maximum length of the text, with its final zero byte. */
#define TOU_UNREACHABLE_TEXT_MAX (TOU_NAME_MAX + 48)

/**
 * Sets @a out to the text of a gateway's refusal.
 *
 * @param through gateway that this node uses, or NULL if it has none
 */
void tou_unreachable_text (char out[TOU_UNREACHABLE_TEXT_MAX],
                           const TouName *through);

/**
 * Reads the text of a refusal.
 *
 * @param through set to the gateway that it names, else to the empty name
 * @return FALSE if the refusal has another reason
 */
gboolean tou_unreachable_parse (TouSlice text, TouName *through);

/**
 * Returns the pause in us before another gateway is tried.
 *
 * @param n_refused gateways that have refused since the database was reached
 * @param n_gateways of the database
 */
guint64 tou_unreachable_pause_us (guint n_refused, guint n_gateways);

G_END_DECLS
