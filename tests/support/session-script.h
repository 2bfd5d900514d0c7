/**
 * @file session-script.h
 * Scripted runs of the session proxy's modules that use no network.
 *
 * Arguments that are times (T, SINCE_..., TAKEN, TARGET) are in milliseconds.
 *
 *     client TEXT | statement TEXT | reply TEXT | status TEXT   decode
 *     config JSON | endpoint-record JSON | settings KEY=VALUE;...   decode
 *     adopt REVISION steady|moving          proof-store REVISION T
 *     proof-node NODE REVISION T            valid NODES T
 *     may-remove NODES REPORTING SINCE_HEARTBEAT
 *     vouches NODES REPORTING SINCE_FOLLOWED    expired known|unknown SINCE
 *     sample T TERM.POSITION                required T
 *     current NAME=VALUE...   target NAME=VALUE...   sync
 *     window SLOTS    rtt T    answered TAKEN TARGET T    refused T
 *     room IN_FLIGHT T
 *     gateways CONNECTION_LIMIT NODES       prints their number and share
 *     nodes NAME/DOMAIN...                  registers nodes
 *     choose ENDPOINT DOMAIN MAX_GATEWAYS   prints the nodes of each gateway
 *     node-unreachable NAME    node-avoided NAME
 *     record REVISION TERM PRIMARY steady|moving [CANDIDATE]
 *     endpoint ID usable|unreachable primary|replica TERM POSITION STATUS_T
 *     view NODES REPORTING SUSPECTING QUIESCED
 *         [registered|draining|unregistered [OBSERVING]]
 *     step T    written yes|no T    ordered accepted|rejected|none T
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** Runs @a script and returns the transcript; free with g_string_free (). */
GString *session_script_run (const char *script);

G_END_DECLS
