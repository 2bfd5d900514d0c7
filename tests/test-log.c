/* Guards against log lines that are not one JSON object. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "toucanscale/status.h"

#include "log.h"

#include <string.h>

/* 2026-01-02T03:04:05.000006Z */
#define TIME_US G_GINT64_CONSTANT (1767323045000006)

/* A line break in a message could forge a log line, and an invalid byte could
   make a line unreadable. */
static void
test_line_is_one_json_object (void **state)
{
  const int code = TOU_E_RING_FULL;
  const GLogField fields[] = { { "MESSAGE", "a\n\"b\"\xff", -1 },
                               { "TOUCANSCALE_CODE", &code, sizeof code } };
  char *line = tou_log_format (G_LOG_LEVEL_WARNING, TIME_US, "vm-1", fields,
                               G_N_ELEMENTS (fields));

  (void)state;
  assert_string_equal (line, "{\"time\":\"2026-01-02T03:04:05.000006Z\","
                             "\"level\":\"warning\",\"node\":\"vm-1\","
                             "\"message\":\"a\\n\\\"b\\\"\uFFFD\",\"code\":202,"
                             "\"status\":\"E_RING_FULL\"}\n");
  g_free (line);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_line_is_one_json_object),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
