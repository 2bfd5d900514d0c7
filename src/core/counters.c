#include "counters.h"

static const struct
{
  const char *name;
  const char *help;
} counter_info[] = {
#define TOU_COUNTER_INFO(name, text, help) { text, help },
  TOU_COUNTER_TABLE (TOU_COUNTER_INFO)
#undef TOU_COUNTER_INFO
};

void
tou_counters_format (TouStr *out, const TouCounters *counters)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < TOU_COUNTER_COUNT; i++)
    {
      const char *name = counter_info[i].name;

      g_string_append_printf (text, "# HELP toucanscale_%s %s\n", name,
                              counter_info[i].help);
      g_string_append_printf (text, "# TYPE toucanscale_%s counter\n", name);
      g_string_append_printf (text, "toucanscale_%s %" G_GUINT64_FORMAT "\n",
                              name, counters->values[i]);
    }
  out->len = text->len;
  out->data = g_string_free (text, FALSE);
}
