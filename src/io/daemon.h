/**
 * @file daemon.h
 * Creates the services of toucanscaled and runs them until shutdown.
 */
#pragma once

#include "toucanscale/settings.h"

G_BEGIN_DECLS

typedef struct TouDaemon TouDaemon;

/** Starts all services; @a settings must outlive the daemon. */
int tou_daemon_create (TouDaemon **out, const TouSettings *settings);

/**
 * Runs until a drain has ended.
 *
 * The first stop signal read from @a signal_fd starts the drain; the second one
 * makes the function return immediately. SIGHUP is ignored.
 *
 * @param daemon daemon to run
 * @param signal_fd descriptor of signalfd (2) for stop signals and SIGHUP
 */
int tou_daemon_run (TouDaemon *daemon, int signal_fd);

/** Stops all services and frees them. */
void tou_daemon_destroy (TouDaemon *daemon);

G_END_DECLS
