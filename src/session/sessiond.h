/**
 * @file sessiond.h
 * Main loop of a node: event loop, signals and periodic work.
 */
#pragma once

#include "settings.h"

G_BEGIN_DECLS

/**
 * Runs the node until a stop signal has been handled.
 *
 * @param settings_path reloaded on SIGHUP
 */
int tou_sessiond_run (const TouNodeSettings *settings,
                      const char *settings_path);

G_END_DECLS
