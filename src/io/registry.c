#include "toucanscale/registry.h"

#include <pthread.h>

typedef struct
{
  TouActionFunc func;
  gpointer service;
} RegistryService;

typedef struct
{
  TouMetricsFunc func;
  gpointer service;
} RegistryMetrics;

struct TouRegistry
{
  pthread_mutex_t mutex;
  GHashTable *services; /* name to RegistryService */
  /* Held while metrics functions run; separate from mutex, so that they never
     delay an action. */
  pthread_mutex_t metrics_mutex;
  GArray *metrics; /* of RegistryMetrics */
};

int
tou_registry_create (TouRegistry **out)
{
  TouRegistry *registry = g_new0 (TouRegistry, 1);

  pthread_mutex_init (&registry->mutex, NULL);
  pthread_mutex_init (&registry->metrics_mutex, NULL);
  registry->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  registry->metrics = g_array_new (FALSE, FALSE, sizeof (RegistryMetrics));
  *out = registry;
  return TOU_OK;
}

int
tou_registry_register (TouRegistry *registry, const char *name,
                       TouActionFunc func, gpointer service)
{
  int status = TOU_OK;

  pthread_mutex_lock (&registry->mutex);
  if (g_hash_table_contains (registry->services, name))
    {
      status = tou_status_set (TOU_E_INVALID_ARGUMENT,
                               "service %s is already registered", name);
    }
  else
    {
      RegistryService *entry = g_new (RegistryService, 1);

      *entry = (RegistryService){ func, service };
      g_hash_table_insert (registry->services, g_strdup (name), entry);
    }
  pthread_mutex_unlock (&registry->mutex);
  return status;
}

void
tou_registry_unregister (TouRegistry *registry, const char *name)
{
  pthread_mutex_lock (&registry->mutex);
  g_hash_table_remove (registry->services, name);
  pthread_mutex_unlock (&registry->mutex);
}

int
tou_registry_submit (TouRegistry *registry, const char *name, TouAction *action)
{
  const RegistryService *found;
  RegistryService entry = { NULL, NULL };

  pthread_mutex_lock (&registry->mutex);
  found = g_hash_table_lookup (registry->services, name);
  if (found != NULL)
    entry = *found;
  pthread_mutex_unlock (&registry->mutex);
  if (entry.func == NULL)
    return tou_status_set (TOU_E_NOT_FOUND, "service %s is not registered",
                           name);
  return entry.func (entry.service, action);
}

void
tou_registry_add_metrics (TouRegistry *registry, TouMetricsFunc func,
                          gpointer service)
{
  RegistryMetrics entry = { func, service };

  pthread_mutex_lock (&registry->metrics_mutex);
  g_array_append_val (registry->metrics, entry);
  pthread_mutex_unlock (&registry->metrics_mutex);
}

void
tou_registry_remove_metrics (TouRegistry *registry, gpointer service)
{
  pthread_mutex_lock (&registry->metrics_mutex);
  for (guint i = registry->metrics->len; i > 0; i--)
    if (g_array_index (registry->metrics, RegistryMetrics, i - 1).service
        == service)
      g_array_remove_index (registry->metrics, i - 1);
  pthread_mutex_unlock (&registry->metrics_mutex);
}

void
tou_registry_metrics (TouRegistry *registry, GString *text)
{
  pthread_mutex_lock (&registry->metrics_mutex);
  for (guint i = 0; i < registry->metrics->len; i++)
    {
      const RegistryMetrics *entry
          = &g_array_index (registry->metrics, RegistryMetrics, i);

      entry->func (entry->service, text);
    }
  pthread_mutex_unlock (&registry->metrics_mutex);
}

void
tou_registry_destroy (TouRegistry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_destroy (registry->services);
  g_array_free (registry->metrics, TRUE);
  pthread_mutex_destroy (&registry->metrics_mutex);
  pthread_mutex_destroy (&registry->mutex);
  g_free (registry);
}
