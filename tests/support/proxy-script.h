/**
 * @file proxy-script.h
 * Scripted runs of the session proxy between clients and line databases, all on
 * one event loop and loopback.
 *
 *     descriptors N                 limit of the process
 *     db ID primary|replica         starts a database
 *     round-trip ID US              bounds the measured round-trip time
 *     position ID TERM.POSITION     sets the database's log position
 *     via ID LIMIT                  reaches the database through a gateway node
 *                                   with a connection limit
 *     route DATABASE primary|bounded|session
 *     gateway-txn-idle MS           idle time of transactions on the gateway
 *     record REVISION TERM PRIMARY steady|moving
 *     queue-limit N                 writes that the node queues per rank
 *     open CLIENT DATABASE          opens a session and waits for READY
 *     query CLIENT TEXT             sends a statement and waits for READY
 *     send CLIENT TEXT              sends a statement
 *     wait CLIENT                   waits for READY
 *     close CLIENT                  closes the connection
 *     fail ID CODE    drop ID    cut ID    cut-set ID    restart ID
 *     hold ID    resume ID          see line-database.h
 *     prove on|off                  whether proofs of the record are added
 *     gateway-draining ID           the gateway stops using the database
 *     gateway-unreachable           the other node stops using the gateway
 *     gateway-stop                  the gateway node ends
 *     relayed                       whether the gateway has run statements
 *     sleep MS                      runs the loop
 *     until ID TEXT                 waits until the database receives TEXT
 *     trace                         prints the clients' statements that the
 *                                   databases received
 *
 * Statements get the ids 1, 2, ...
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** Runs @a script and returns the transcript; free with g_string_free (). */
GString *proxy_script_run (const char *script);

G_END_DECLS
