#include "codec.h"

#include <string.h>

typedef struct
{
  const guint8 *next;
  const guint8 *end;
  guint n_values;
} CodecScan;

/* Reads a big-endian number of @a width bytes. */
static gboolean
scan_number (CodecScan *scan, guint width, guint32 *out)
{
  guint32 value = 0;

  if ((gsize)(scan->end - scan->next) < width)
    return FALSE;
  for (guint i = 0; i < width; i++)
    value = value << 8 | *scan->next++;
  *out = value;
  return TRUE;
}

static gboolean
scan_skip (CodecScan *scan, guint32 bytes)
{
  if ((gsize)(scan->end - scan->next) < bytes)
    return FALSE;
  scan->next += bytes;
  return TRUE;
}

/* Skips a length of @a width bytes, @a extra_bytes and data of that length. */
static gboolean
scan_length_prefixed (CodecScan *scan, guint width, guint32 extra_bytes)
{
  guint32 len;

  return scan_number (scan, width, &len) && scan_skip (scan, extra_bytes)
         && scan_skip (scan, len);
}

static gboolean scan_value (CodecScan *scan, guint depth);

static gboolean
scan_values (CodecScan *scan, guint64 count, guint depth)
{
  if (depth > TOU_CODEC_MAX_DEPTH || count > (guint64)(scan->end - scan->next))
    return FALSE;
  for (guint64 i = 0; i < count; i++)
    if (!scan_value (scan, depth))
      return FALSE;
  return TRUE;
}

/* Scans an array or map; a map has two values per element. */
static gboolean
scan_container (CodecScan *scan, guint width, guint values_per_element,
                guint depth)
{
  guint32 count;

  return scan_number (scan, width, &count)
         && scan_values (scan, (guint64)count * values_per_element, depth + 1);
}

/* Scans a value whose first byte is from 0xc0 to 0xdf. */
static gboolean
scan_tagged (CodecScan *scan, guint8 tag, guint depth)
{
  switch (tag)
    {
    case 0xc0: /* nil */
    case 0xc2: /* false */
    case 0xc3: /* true */
      return TRUE;
    case 0xc4: /* bin 8, 16, 32 */
    case 0xc5:
    case 0xc6:
      return scan_length_prefixed (scan, 1U << (tag - 0xc4U), 0);
    case 0xc7: /* ext 8, 16, 32 */
    case 0xc8:
    case 0xc9:
      return scan_length_prefixed (scan, 1U << (tag - 0xc7U), 1);
    case 0xca: /* float 32 */
      return scan_skip (scan, 4);
    case 0xcb: /* float 64 */
      return scan_skip (scan, 8);
    case 0xcc: /* uint 8 to 64 */
    case 0xcd:
    case 0xce:
    case 0xcf:
      return scan_skip (scan, 1U << (tag - 0xccU));
    case 0xd0: /* int 8 to 64 */
    case 0xd1:
    case 0xd2:
    case 0xd3:
      return scan_skip (scan, 1U << (tag - 0xd0U));
    case 0xd4: /* fixext 1 to 16 */
    case 0xd5:
    case 0xd6:
    case 0xd7:
    case 0xd8:
      return scan_skip (scan, 1 + (1U << (tag - 0xd4U)));
    case 0xd9: /* str 8, 16, 32 */
    case 0xda:
    case 0xdb:
      return scan_length_prefixed (scan, 1U << (tag - 0xd9U), 0);
    case 0xdc: /* array 16, 32 */
    case 0xdd:
      return scan_container (scan, 2U << (tag - 0xdcU), 1, depth);
    case 0xde: /* map 16, 32 */
    case 0xdf:
      return scan_container (scan, 2U << (tag - 0xdeU), 2, depth);
    default: /* 0xc1 is reserved */
      return FALSE;
    }
}

static gboolean
scan_value (CodecScan *scan, guint depth)
{
  guint8 tag;

  if (scan->next == scan->end || ++scan->n_values > TOU_CODEC_MAX_VALUES)
    return FALSE;
  tag = *scan->next++;
  if (tag < 0x80 || tag >= 0xe0) /* fixint */
    return TRUE;
  if (tag < 0x90)
    return scan_values (scan, 2 * (guint64)(tag & 0x0fU), depth + 1);
  if (tag < 0xa0)
    return scan_values (scan, tag & 0x0fU, depth + 1);
  if (tag < 0xc0)
    return scan_skip (scan, tag & 0x1fU);
  return scan_tagged (scan, tag, depth);
}

gboolean
tou_codec_validate (const char *data, gsize len)
{
  CodecScan scan = { (const guint8 *)data, (const guint8 *)data + len, 0 };

  return scan_value (&scan, 0) && scan.next == scan.end;
}
