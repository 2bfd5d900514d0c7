/**
 * @file str.h
 * Length-counted strings: TouStr owns its bytes, TouName has a fixed size.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/** Owned, length-counted bytes; NUL-terminated unless data is NULL. */
typedef struct
{
  char *data; /**< NULL for an absent value (SQL NULL, unset field) */
  gsize len;  /**< bytes, without the terminator */
} TouStr;

/** Maximum length of a TouName, in bytes. */
#define TOU_NAME_MAX 79

/**
 * Name of a node, group, endpoint or region, or an "ip:port" address. It stands
 * for a longer name in its shortened form; see tou_name_shorten().
 */
typedef struct
{
  guint8 len;
  char data[TOU_NAME_MAX + 1];
} TouName;

/** Initialises @a out with a copy of @a len bytes. */
void tou_str_init (TouStr *out, const char *data, gsize len);

/** Initialises @a out with a copy of a C string; NULL gives an absent value. */
void tou_str_init_c (TouStr *out, const char *text);

/** Initialises @a out with formatted text. */
void tou_str_printf (TouStr *out, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** Initialises @a out with a copy of @a other. */
void tou_str_copy (TouStr *out, const TouStr *other);

/** Moves @a from to @a out and makes @a from absent. */
void tou_str_move (TouStr *out, TouStr *from);

/** Frees the bytes and makes the value absent. */
void tou_str_clear (TouStr *str);

/** Compares bytes; two absent values are equal. */
gboolean tou_str_equal (const TouStr *a, const TouStr *b);

/** Sets @a out; fails with TOU_E_INVALID_ARGUMENT if @a len is too large. */
int tou_name_set (TouName *out, const char *data, gsize len);

/** Sets @a out from a C string. */
int tou_name_set_c (TouName *out, const char *text);

/**
 * Sets @a out to a name of any length that comes from outside.
 *
 * A name of more than TOU_NAME_MAX bytes is shortened to its first characters,
 * '~' and its SHA-256 in hexadecimal digits, so that different names stay
 * different. A name that has this form by itself is shortened as well. The
 * result is text if the name is, and does not depend on the process: nodes and
 * keys of the store use it in place of the name.
 */
void tou_name_shorten (TouName *out, const char *data, gsize len);

/** TRUE if @a name is the shortened form of another name. */
gboolean tou_name_is_shortened (const TouName *name);

/** Returns a name from a C string; a long one is shortened. */
TouName tou_name (const char *text);

/** Compares the bytes of two names. */
gboolean tou_name_equal (const TouName *a, const TouName *b);

/** Compares names bytewise; returns a negative, zero or positive value. */
int tou_name_compare (const TouName *a, const TouName *b);

/** Hash for GHashTable keys of type TouName. */
guint tou_name_hash (gconstpointer name);

/** Equality for GHashTable keys of type TouName. */
gboolean tou_name_equal_func (gconstpointer a, gconstpointer b);

G_END_DECLS
