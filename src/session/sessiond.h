/**
 * @file sessiond.h
 * The session proxy as a process: event loop, signals, periodic work.
 */
#pragma once

#include "site.h"

G_BEGIN_DECLS

/**
 * Serves until a stop signal has been handled.
 *
 * @param settings_path read again when the process gets SIGHUP
 */
int tou_sessiond_run (const TouSite *site, const char *settings_path);

G_END_DECLS
