/**
 * @file proxy-script.h
 * Scripted runs of the session proxy between line databases and callers, all
 * on one event loop and loopback.
 *
 *     descriptors N                 of the process
 *     db ID primary|replica         at ID TERM.POSITION
 *     route DATABASE primary|bounded|session
 *     record REVISION TERM PRIMARY steady|moving
 *     open CALLER DATABASE          opens a session and waits for READY
 *     ask CALLER TEXT               sends a statement, waits for READY
 *     send CALLER TEXT              sends a statement
 *     wait CALLER                   waits for READY
 *     leave CALLER                  closes the connection
 *     fail ID CODE    drop ID    cut ID    cut-step ID    restart ID
 *     hold ID    resume ID
 *     prove on|off                  whether the record counts as proved
 *     sleep MS                      runs the loop
 *     until ID TEXT                 waits until the database has got TEXT
 *     trace                         prints callers' statements at the databases
 *
 * Statements get the ids 1, 2, ...
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** Runs @a script and returns the transcript; free with g_string_free (). */
GString *proxy_script_run (const char *script);

G_END_DECLS
