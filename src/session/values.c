#include "values.h"

#include <string.h>

void
tou_values_init (TouSqlValues *values)
{
  values->names = g_ptr_array_new_with_free_func (g_free);
  values->values = g_ptr_array_new_with_free_func (g_free);
}

void
tou_values_clear (TouSqlValues *values)
{
  g_ptr_array_unref (values->names);
  g_ptr_array_unref (values->values);
}

void
tou_values_reset (TouSqlValues *values)
{
  g_ptr_array_set_size (values->names, 0);
  g_ptr_array_set_size (values->values, 0);
}

static const char *
values_find (const TouSqlValues *values, const char *name, gsize len,
             guint *index)
{
  for (guint i = 0; i < values->names->len; i++)
    {
      const char *other = g_ptr_array_index (values->names, i);

      if (strlen (other) != len || memcmp (other, name, len) != 0)
        continue;
      *index = i;
      return g_ptr_array_index (values->values, i);
    }
  return NULL;
}

void
tou_values_set (TouSqlValues *values, TouSlice name, TouSlice value)
{
  guint i;

  if (values_find (values, name.data, name.len, &i) == NULL)
    {
      g_ptr_array_add (values->names, g_strndup (name.data, name.len));
      g_ptr_array_add (values->values, g_strndup (value.data, value.len));
      return;
    }
  g_free (g_ptr_array_index (values->values, i));
  g_ptr_array_index (values->values, i) = g_strndup (value.data, value.len);
}

TouValuesStep
tou_values_next_step (const TouSqlValues *current, const TouSqlValues *target,
                      guint *index)
{
  guint i;

  for (guint c = 0; c < current->names->len; c++)
    {
      const char *name = g_ptr_array_index (current->names, c);

      if (values_find (target, name, strlen (name), &i) == NULL)
        return TOU_VALUES_RESET;
    }
  for (guint t = 0; t < target->names->len; t++)
    {
      const char *name = g_ptr_array_index (target->names, t);
      const char *value = values_find (current, name, strlen (name), &i);

      *index = t;
      if (g_strcmp0 (value, g_ptr_array_index (target->values, t)) != 0)
        return TOU_VALUES_SET;
    }
  return TOU_VALUES_EQUAL;
}
