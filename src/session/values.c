#include "values.h"

#include <string.h>

void
tou_values_init (TouSqlValues *values)
{
  memset (values, 0, sizeof *values);
}

void
tou_values_clear (TouSqlValues *values)
{
  g_clear_pointer (&values->names, g_ptr_array_unref);
  g_clear_pointer (&values->values, g_ptr_array_unref);
  values->bytes = 0;
}

void
tou_values_reset (TouSqlValues *values)
{
  tou_values_clear (values);
}

guint
tou_values_count (const TouSqlValues *values)
{
  return values->names != NULL ? values->names->len : 0;
}

static const char *
values_find (const TouSqlValues *values, const char *name, gsize len,
             guint *index)
{
  for (guint i = 0; i < tou_values_count (values); i++)
    {
      const char *other = g_ptr_array_index (values->names, i);

      if (strlen (other) != len || memcmp (other, name, len) != 0)
        continue;
      *index = i;
      return g_ptr_array_index (values->values, i);
    }
  return NULL;
}

gboolean
tou_values_have_room (const TouSqlValues *values, TouSlice name, TouSlice value)
{
  guint i;
  const char *old = values_find (values, name.data, name.len, &i);
  gsize added = value.len + (old == NULL ? name.len : 0);

  return (old != NULL || tou_values_count (values) < TOU_VALUES_MAX)
         && values->bytes + added - (old != NULL ? strlen (old) : 0)
                <= TOU_VALUES_MAX_BYTES;
}

void
tou_values_set (TouSqlValues *values, TouSlice name, TouSlice value)
{
  guint i;

  if (values->names == NULL)
    {
      values->names = g_ptr_array_new_with_free_func (g_free);
      values->values = g_ptr_array_new_with_free_func (g_free);
    }
  if (values_find (values, name.data, name.len, &i) == NULL)
    {
      g_ptr_array_add (values->names, g_strndup (name.data, name.len));
      g_ptr_array_add (values->values, g_strndup (value.data, value.len));
      values->bytes += name.len + value.len;
      return;
    }
  values->bytes += value.len - strlen (g_ptr_array_index (values->values, i));
  g_free (g_ptr_array_index (values->values, i));
  g_ptr_array_index (values->values, i) = g_strndup (value.data, value.len);
}

TouValuesStep
tou_values_next_step (const TouSqlValues *current, const TouSqlValues *target,
                      guint *index)
{
  guint i;

  for (guint c = 0; c < tou_values_count (current); c++)
    {
      const char *name = g_ptr_array_index (current->names, c);

      if (values_find (target, name, strlen (name), &i) == NULL)
        return TOU_VALUES_RESET;
    }
  for (guint t = 0; t < tou_values_count (target); t++)
    {
      const char *name = g_ptr_array_index (target->names, t);
      const char *value = values_find (current, name, strlen (name), &i);

      *index = t;
      if (g_strcmp0 (value, g_ptr_array_index (target->values, t)) != 0)
        return TOU_VALUES_SET;
    }
  return TOU_VALUES_EQUAL;
}
