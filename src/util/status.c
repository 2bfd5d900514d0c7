#include "toucanscale/status.h"

#include <stdarg.h>

/* Size of the message buffer of a thread; longer messages are truncated. */
#define TOU_STATUS_MESSAGE_MAX 512

static _Thread_local char last_message[TOU_STATUS_MESSAGE_MAX];

const char *
tou_status_name (int code)
{
  switch (code)
    {
#define TOU_STATUS_NAME(name, number, http, text)                              \
  case number:                                                                 \
    return #name;
      TOU_STATUS_TABLE (TOU_STATUS_NAME)
#undef TOU_STATUS_NAME
    default:
      return "UNKNOWN";
    }
}

const char *
tou_status_text (int code)
{
  switch (code)
    {
#define TOU_STATUS_TEXT(name, number, http, text)                              \
  case number:                                                                 \
    return text;
      TOU_STATUS_TABLE (TOU_STATUS_TEXT)
#undef TOU_STATUS_TEXT
    default:
      return "unknown result code";
    }
}

guint
tou_status_http (int code)
{
  switch (code)
    {
#define TOU_STATUS_HTTP(name, number, http, text)                              \
  case number:                                                                 \
    return http;
      TOU_STATUS_TABLE (TOU_STATUS_HTTP)
#undef TOU_STATUS_HTTP
    default:
      return 500;
    }
}

int
tou_status_set (int code, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return code;
}

const char *
tou_status_message (void)
{
  return last_message;
}
