#include "peer-address.h"

#include <unistd.h>

TouName
peer_address (void)
{
  guint pid = (guint)getpid ();
  char *text = g_strdup_printf ("127.%u.%u.%u:0", 1 + (pid >> 16) % 254,
                                (pid >> 8) & 0xff, pid & 0xff);
  TouName address = tou_name (text);

  g_free (text);
  return address;
}
