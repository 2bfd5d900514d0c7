/**
 * @file script.h
 * Scripted runs: commands control a harness; the transcript is compared with
 * the expected output.
 *
 * One command per line. Times are written like "20ms" or "3s". P and G are a
 * proxy and a group. DB is a member number, "primary", or "old" for the member
 * of the last command that named a database:
 *
 *     deployment tuul|nha-vung    proxies N    seed N
 *     lag T    service T    start
 *     rate RANK N                 run T        reset
 *     kill-db G DB    start-db G DB    pause-db G DB    resume-db G DB
 *     cut-db G DB     heal-db G DB     set-lag G DB T
 *     cut-replication G DB
 *     cut-link P G DB    heal-link P G DB
 *     kill-proxy P    start-proxy P    pause-proxy P    resume-proxy P
 *     drain-proxy P   cut-proxy P      heal-proxy P
 *     store up|down|stall|lose    vm-leaving G DB
 *     expect-gap G T              longest time without an acknowledged write
 *     expect-service RANK PERCENT done within the deadline
 *     expect-done RANK COUNT      at least COUNT done since the reset
 *     expect-drained P            expect-connections
 *     expect-no-work G DB T       no statement arrived within the last T
 *     log                         prints the cores' log after the run
 *     codes                       prints the counts of result codes
 *     check                       checks outcomes against the logs
 */
#pragma once

#include "harness.h"

G_BEGIN_DECLS

/** Runs @a script and returns the transcript; free with g_string_free (). */
GString *script_run (const char *script);

G_END_DECLS
