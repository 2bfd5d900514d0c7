/**
 * @file http-reply.h
 * Renders a TouReply as an HTTP response with session token and cookies.
 */
#pragma once

#include "toucanscale/token.h"

#include <ulfius.h>

G_BEGIN_DECLS

/** Renders status and body. */
void tou_http_reply_render (struct _u_response *response, TouRequestKind kind,
                            const TouReply *reply);

/**
 * Sets the session header and a new cookie with the token of @a session, and
 * expires the session cookies of @a request. For an empty session, does
 * nothing.
 *
 * @param secure the cookie is sent over TLS only
 */
int tou_http_reply_session (struct _u_response *response,
                            const struct _u_request *request,
                            const TouSession *session, const TouTokenKeys *keys,
                            gboolean secure);

/** Expires the session cookies of @a request. */
void tou_http_reply_expire (struct _u_response *response,
                            const struct _u_request *request, gboolean secure);

G_END_DECLS
