#include "toucanscale/str.h"

#include "toucanscale/status.h"

#include <stdarg.h>
#include <string.h>

/* Hexadecimal digits of a SHA-256. */
#define NAME_DIGEST_LEN 64
#define NAME_DIGEST_MARK '~'
/* Bytes of a name that its shortened form begins with, at the most. */
#define NAME_PREFIX_MAX (TOU_NAME_MAX - 1 - NAME_DIGEST_LEN)

void
tou_str_init (TouStr *out, const char *data, gsize len)
{
  out->data = g_malloc (len + 1);
  if (len > 0)
    memcpy (out->data, data, len);
  out->data[len] = '\0';
  out->len = len;
}

void
tou_str_init_c (TouStr *out, const char *text)
{
  if (text == NULL)
    *out = (TouStr){ 0 };
  else
    tou_str_init (out, text, strlen (text));
}

void
tou_str_printf (TouStr *out, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  out->data = g_strdup_vprintf (format, args);
  va_end (args);
  out->len = strlen (out->data);
}

void
tou_str_copy (TouStr *out, const TouStr *other)
{
  if (other->data == NULL)
    *out = (TouStr){ 0 };
  else
    tou_str_init (out, other->data, other->len);
}

void
tou_str_move (TouStr *out, TouStr *from)
{
  *out = *from;
  *from = (TouStr){ 0 };
}

void
tou_str_clear (TouStr *str)
{
  g_free (str->data);
  *str = (TouStr){ 0 };
}

gboolean
tou_str_equal (const TouStr *a, const TouStr *b)
{
  if (a->data == NULL || b->data == NULL)
    return a->data == b->data;
  return a->len == b->len && memcmp (a->data, b->data, a->len) == 0;
}

int
tou_name_set (TouName *out, const char *data, gsize len)
{
  if (len > TOU_NAME_MAX)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "name of %" G_GSIZE_FORMAT
                           " bytes exceeds the limit of %d",
                           len, TOU_NAME_MAX);
  memset (out, 0, sizeof *out);
  if (len > 0)
    memcpy (out->data, data, len);
  out->len = (guint8)len;
  return TOU_OK;
}

int
tou_name_set_c (TouName *out, const char *text)
{
  return tou_name_set (out, text, strlen (text));
}

/* TRUE if the bytes have the form of a shortened name. */
static gboolean
name_has_digest (const char *data, gsize len)
{
  const char *digest;

  if (len > TOU_NAME_MAX || len < 1 + NAME_DIGEST_LEN)
    return FALSE;
  digest = data + len - NAME_DIGEST_LEN;
  if (digest[-1] != NAME_DIGEST_MARK)
    return FALSE;
  for (gsize i = 0; i < NAME_DIGEST_LEN; i++)
    if (!g_ascii_isdigit (digest[i]) && (digest[i] < 'a' || digest[i] > 'f'))
      return FALSE;
  return TRUE;
}

/* Number of bytes of a name that its shortened form begins with: none of a
   character is left out. */
static gsize
name_prefix_len (const char *data, gsize len)
{
  gsize prefix = MIN (len, NAME_PREFIX_MAX);

  while (prefix > 0 && prefix < len && ((guchar)data[prefix] & 0xc0) == 0x80)
    prefix--;
  return prefix;
}

void
tou_name_shorten (TouName *out, const char *data, gsize len)
{
  gsize prefix;
  char *digest;

  if (len <= TOU_NAME_MAX && !name_has_digest (data, len))
    {
      tou_name_set (out, data, len);
      return;
    }
  memset (out, 0, sizeof *out);
  prefix = name_prefix_len (data, len);
  memcpy (out->data, data, prefix);
  digest = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (guchar *)data, len);
  out->data[prefix] = NAME_DIGEST_MARK;
  memcpy (out->data + prefix + 1, digest, NAME_DIGEST_LEN);
  out->len = (guint8)(prefix + 1 + NAME_DIGEST_LEN);
  g_free (digest);
}

gboolean
tou_name_is_shortened (const TouName *name)
{
  return name_has_digest (name->data, name->len);
}

TouName
tou_name (const char *text)
{
  TouName name;

  tou_name_shorten (&name, text, strlen (text));
  return name;
}

gboolean
tou_name_equal (const TouName *a, const TouName *b)
{
  return a->len == b->len && memcmp (a->data, b->data, a->len) == 0;
}

int
tou_name_compare (const TouName *a, const TouName *b)
{
  int order = memcmp (a->data, b->data, MIN (a->len, b->len));

  if (order != 0)
    return order;
  return (int)a->len - (int)b->len;
}

guint
tou_name_hash (gconstpointer name)
{
  return g_str_hash (((const TouName *)name)->data);
}

gboolean
tou_name_equal_func (gconstpointer a, gconstpointer b)
{
  return tou_name_equal (a, b);
}
