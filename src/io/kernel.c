#include "toucanscale/kernel.h"

#include <pthread.h>

typedef struct
{
  TouActionFunc func;
  gpointer service;
} KernelService;

typedef struct
{
  TouMetricsFunc func;
  gpointer service;
} KernelMetrics;

struct TouKernel
{
  pthread_mutex_t mutex;
  GHashTable *services; /* name to KernelService */
  /* Held while metrics functions run; separate from mutex, so that they never
     delay an action. */
  pthread_mutex_t metrics_mutex;
  GArray *metrics; /* of KernelMetrics */
};

int
tou_kernel_create (TouKernel **out)
{
  TouKernel *kernel = g_new0 (TouKernel, 1);

  pthread_mutex_init (&kernel->mutex, NULL);
  pthread_mutex_init (&kernel->metrics_mutex, NULL);
  kernel->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  kernel->metrics = g_array_new (FALSE, FALSE, sizeof (KernelMetrics));
  *out = kernel;
  return TOU_OK;
}

int
tou_kernel_register (TouKernel *kernel, const char *name, TouActionFunc func,
                     gpointer service)
{
  int status = TOU_OK;

  pthread_mutex_lock (&kernel->mutex);
  if (g_hash_table_contains (kernel->services, name))
    {
      status = tou_status_set (TOU_E_INVALID_ARGUMENT,
                               "service %s is already registered", name);
    }
  else
    {
      KernelService *entry = g_new (KernelService, 1);

      *entry = (KernelService){ func, service };
      g_hash_table_insert (kernel->services, g_strdup (name), entry);
    }
  pthread_mutex_unlock (&kernel->mutex);
  return status;
}

void
tou_kernel_unregister (TouKernel *kernel, const char *name)
{
  pthread_mutex_lock (&kernel->mutex);
  g_hash_table_remove (kernel->services, name);
  pthread_mutex_unlock (&kernel->mutex);
}

int
tou_kernel_submit (TouKernel *kernel, const char *name, TouAction *action)
{
  const KernelService *found;
  KernelService entry = { NULL, NULL };

  pthread_mutex_lock (&kernel->mutex);
  found = g_hash_table_lookup (kernel->services, name);
  if (found != NULL)
    entry = *found;
  pthread_mutex_unlock (&kernel->mutex);
  if (entry.func == NULL)
    return tou_status_set (TOU_E_NOT_FOUND, "service %s is not registered",
                           name);
  return entry.func (entry.service, action);
}

void
tou_kernel_add_metrics (TouKernel *kernel, TouMetricsFunc func,
                        gpointer service)
{
  KernelMetrics entry = { func, service };

  pthread_mutex_lock (&kernel->metrics_mutex);
  g_array_append_val (kernel->metrics, entry);
  pthread_mutex_unlock (&kernel->metrics_mutex);
}

void
tou_kernel_remove_metrics (TouKernel *kernel, gpointer service)
{
  pthread_mutex_lock (&kernel->metrics_mutex);
  for (guint i = kernel->metrics->len; i > 0; i--)
    if (g_array_index (kernel->metrics, KernelMetrics, i - 1).service
        == service)
      g_array_remove_index (kernel->metrics, i - 1);
  pthread_mutex_unlock (&kernel->metrics_mutex);
}

void
tou_kernel_metrics (TouKernel *kernel, GString *text)
{
  pthread_mutex_lock (&kernel->metrics_mutex);
  for (guint i = 0; i < kernel->metrics->len; i++)
    {
      const KernelMetrics *entry
          = &g_array_index (kernel->metrics, KernelMetrics, i);

      entry->func (entry->service, text);
    }
  pthread_mutex_unlock (&kernel->metrics_mutex);
}

void
tou_kernel_destroy (TouKernel *kernel)
{
  if (kernel == NULL)
    return;
  g_hash_table_destroy (kernel->services);
  g_array_free (kernel->metrics, TRUE);
  pthread_mutex_destroy (&kernel->metrics_mutex);
  pthread_mutex_destroy (&kernel->mutex);
  g_free (kernel);
}
