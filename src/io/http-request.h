/**
 * @file http-request.h
 * Parses a client's HTTP request into a TouRequest.
 */
#pragma once

#include "toucanscale/token.h"

#include <ulfius.h>

G_BEGIN_DECLS

/** Prefix of the names of session cookies. */
#define TOU_HTTP_COOKIE_PREFIX "tou-session-"

/** Header that carries session tokens in both directions. */
#define TOU_HTTP_SESSION_HEADER "X-Toucanscale-Session"

/** Keys and limits for checking requests. */
typedef struct
{
  const TouTokenKeys *token_keys;
  gsize statement_limit;   /**< bytes of statement and parameters */
  guint64 max_deadline_us; /**< maximum time until the deadline */
} TouHttpRequestLimits;

/**
 * Fills @a out, which the caller clears, also on error.
 *
 * deadline_us is absolute, or 0 if the request has no deadline. On failure,
 * returns the code of the first error and sets the status message.
 */
int tou_http_request_parse (TouRequest *out, TouRequestKind kind,
                            const struct _u_request *request,
                            const TouHttpRequestLimits *limits, guint64 now_us);

G_END_DECLS
