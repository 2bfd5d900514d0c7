/**
 * @file registry.h
 * Registry of the daemon's services, which are looked up by name.
 *
 * All functions can be called from any thread.
 */
#pragma once

#include "toucanscale/event.h"

G_BEGIN_DECLS

/** Registry of services and of their metrics functions. */
typedef struct TouRegistry TouRegistry;

/** Passes an action to a service; see src/io/service.h. */
typedef int (*TouActionFunc) (gpointer service, TouAction *action);

/** Appends a service's metrics in the text exposition format. */
typedef void (*TouMetricsFunc) (gpointer service, GString *text);

/** Creates an empty registry, owned by the caller. */
int tou_registry_create (TouRegistry **out);

/**
 * Registers @a service under @a name.
 *
 * Fails with TOU_E_INVALID_ARGUMENT if the name is already registered.
 */
int tou_registry_register (TouRegistry *registry, const char *name,
                           TouActionFunc func, gpointer service);

/** Removes a service; the caller ensures that no call is in progress. */
void tou_registry_unregister (TouRegistry *registry, const char *name);

/**
 * Passes @a action to the service @a name.
 *
 * On success the service owns the payload. Fails with TOU_E_NOT_FOUND if there
 * is no such service, or with the service's own error.
 */
int tou_registry_submit (TouRegistry *registry, const char *name,
                         TouAction *action);

/** Adds a metrics function of @a service. */
void tou_registry_add_metrics (TouRegistry *registry, TouMetricsFunc func,
                               gpointer service);

/**
 * Removes all metrics functions of @a service and waits for a call in progress;
 * @a service can be freed afterwards.
 */
void tou_registry_remove_metrics (TouRegistry *registry, gpointer service);

/** Calls all metrics functions, which append to @a text. */
void tou_registry_metrics (TouRegistry *registry, GString *text);

/** Frees the registry, not the services; NULL is ignored. */
void tou_registry_destroy (TouRegistry *registry);

G_END_DECLS
