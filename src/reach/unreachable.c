#include "unreachable.h"

#include <string.h>

#define UNREACHABLE_TEXT "not reachable from this node"
#define UNREACHABLE_THROUGH "; through "

/* Pause before the second gateway: it is selected with the next tick. */
#define UNREACHABLE_FIRST_US (25 * TOU_US_PER_MS)
/* Pause before each of the other gateways and of two that stand in for them.
   With half of the nodes cut off, three gateways in a row do not reach the
   database once in eight times. */
#define UNREACHABLE_NEXT_US (100 * TOU_US_PER_MS)
#define UNREACHABLE_STANDINS 2
/* Pause after all have refused. All nodes try them at this interval. */
#define UNREACHABLE_PAUSE_US (1000 * TOU_US_PER_MS)

void
tou_unreachable_text (char out[TOU_UNREACHABLE_TEXT_MAX],
                      const TouName *through)
{
  gboolean named = through != NULL && through->len > 0;

  g_snprintf (out, TOU_UNREACHABLE_TEXT_MAX, "%s%s%s", UNREACHABLE_TEXT,
              named ? UNREACHABLE_THROUGH : "", named ? through->data : "");
}

gboolean
tou_unreachable_parse (TouSlice text, TouName *through)
{
  gsize prefix_len = strlen (UNREACHABLE_TEXT);
  gsize named_len = prefix_len + strlen (UNREACHABLE_THROUGH);

  memset (through, 0, sizeof *through);
  if (text.len < prefix_len
      || memcmp (text.data, UNREACHABLE_TEXT, prefix_len) != 0)
    return FALSE;
  if (text.len > named_len
      && memcmp (text.data + prefix_len, UNREACHABLE_THROUGH,
                 named_len - prefix_len)
             == 0
      && tou_name_set (through, text.data + named_len, text.len - named_len)
             != TOU_OK)
    memset (through, 0, sizeof *through);
  return TRUE;
}

guint64
tou_unreachable_pause_us (guint n_refused, guint n_gateways)
{
  if (n_refused < 2)
    return UNREACHABLE_FIRST_US;
  return n_refused < n_gateways + UNREACHABLE_STANDINS ? UNREACHABLE_NEXT_US
                                                       : UNREACHABLE_PAUSE_US;
}
