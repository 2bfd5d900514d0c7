/**
 * @file session-script.h
 * Scripted runs of the session proxy's decisions; times are milliseconds.
 *
 *     caller TEXT | statement TEXT | reply TEXT | status TEXT   decode
 *     config JSON | entry JSON | settings KEY=VALUE,...         decode
 *     adopt REVISION steady|moving          proof-store REVISION T
 *     proof-node NODE REVISION T            valid NODES T
 *     may-remove NODES HEARD SILENT         nodes-count NODES HEARD CONTACT
 *     sample T TERM.POSITION                required T
 *     have NAME=VALUE...   want NAME=VALUE...   align
 *     window SLOTS    rtt T    answered TAKEN TARGET AT    refused AT
 *     room IN_FLIGHT AT
 *     record REVISION TERM PRIMARY steady|moving [CANDIDATE]
 *     endpoint ID usable|silent primary|replica TERM POSITION ASKED
 *     view NODES REPORTING SUSPECTING QUIET [draining|gone]
 *     step T    written yes|no T    ordered done|rejected|none T
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** Runs @a script and returns the transcript; free with g_string_free (). */
GString *session_script_run (const char *script);

G_END_DECLS
