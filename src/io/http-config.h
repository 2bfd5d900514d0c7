/**
 * @file http-config.h
 * Parses operators' configuration requests and renders the responses.
 */
#pragma once

#include "toucanscale/event.h"

#include <ulfius.h>

G_BEGIN_DECLS

/**
 * Fills @a out from the path and body of a PUT, or of a DELETE if @a is_delete;
 * the caller clears it, also on error.
 */
int tou_http_config_parse (TouConfigChange *out,
                           const struct _u_request *request,
                           gboolean is_delete);

/** Renders the response to a change from a CONFIG_REPLY action. */
void tou_http_config_render (struct _u_response *response,
                             const TouAction *reply);

/**
 * Renders the entries in the member "config" of a dump.
 *
 * @param key the entry to show, or NULL for all
 */
void tou_http_config_render_list (struct _u_response *response,
                                  const TouStr *dump, const char *key);

/** Returns "config/<kind>/<name>" from the path, or NULL if it is invalid. */
char *tou_http_config_key (const struct _u_request *request);

G_END_DECLS
