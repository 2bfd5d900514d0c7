/**
 * @file toucanscalectl.c
 * Command-line tool for operators; --help lists commands and exit codes.
 */
#include "ctl.h"

#include <curl/curl.h>

int
main (int argc, char **argv)
{
  TouCtlOptions options;
  int code;

  tou_ctl_parse (&options, argc, argv);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  code = tou_ctl_run (&options);
  curl_global_cleanup ();
  return code;
}
