#include "descriptors.h"

#include "peer-link.h"

#include <errno.h>
#include <sys/resource.h>

/* Per link: the outgoing and the incoming connection, and the event descriptor
   of the ZeroMQ socket. */
#define DESCRIPTORS_PER_LINK 3

/* Connections to databases and the store, listening sockets, event
   descriptors, files, and connections that exceed the limits, which are
   accepted to send an error response. */
#define DESCRIPTORS_OTHER 1024

guint64
tou_descriptors_needed (const TouSettings *settings)
{
  return (guint64)settings->max_connections + settings->max_operator_connections
         + (guint64)DESCRIPTORS_PER_LINK * TOU_PEER_MAX_LINKS
         + DESCRIPTORS_OTHER;
}

int
tou_descriptors_raise_limit (const TouSettings *settings)
{
  guint64 needed = tou_descriptors_needed (settings);
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return tou_status_set (TOU_E_IO, "getrlimit: %s", g_strerror (errno));
  if (limit.rlim_cur >= needed)
    return TOU_OK;
  if (limit.rlim_max < needed)
    return tou_status_set (
        TOU_E_SETTING_INVALID,
        "hard limit on open files is %" G_GUINT64_FORMAT
        ", but --max-connections=%u needs %" G_GUINT64_FORMAT
        ": raise the limit (LimitNOFILE= in the unit) or lower the setting",
        (guint64)limit.rlim_max, settings->max_connections, needed);
  limit.rlim_cur = needed;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    return tou_status_set (TOU_E_IO, "setrlimit: %s", g_strerror (errno));
  return TOU_OK;
}
