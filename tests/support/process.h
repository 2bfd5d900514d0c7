/**
 * @file process.h
 * Child processes of test programs: stand-ins and the daemon.
 *
 * Only test programs start processes. Each child is killed by its id: by
 * tou_process_stop (), by an exit handler of the program, or by the kernel if
 * the program dies without running its exit handlers. Start children from the
 * main thread, as the kernel also kills them when the thread that started them
 * ends.
 */
#pragma once

#include <glib.h>
#include <sys/types.h>

G_BEGIN_DECLS

/** Maximum number of children of a program. */
#define TOU_PROCESS_MAX 64

/** Returns a TCP port of 127.0.0.1 that was free at the time of the call. */
int tou_process_free_port (void);

/**
 * Starts a program.
 *
 * @param argv path and arguments, NULL-terminated
 * @return the child's id, or 0 on failure
 */
pid_t tou_process_start (const char *const *argv);

/** Kills the child with SIGKILL and waits for it; clears @a pid. */
void tou_process_stop (pid_t *pid);

/**
 * Waits until the child exits; clears @a pid.
 *
 * @return its exit code, or -1 if a signal killed it
 */
int tou_process_wait (pid_t *pid);

/** Returns FALSE once the child has exited or was killed. */
gboolean tou_process_is_running (pid_t pid);

/**
 * Waits until @a port of 127.0.0.1 accepts connections; returns FALSE if the
 * child ends first.
 */
gboolean tou_process_wait_ready (pid_t pid, int port);

G_END_DECLS
