/**
 * @file toucanscalectl.c
 * Command-line tool for operators; --help lists commands and exit codes.
 */
#include "config-check.h"
#include "ctl.h"

#include <curl/curl.h>

int
main (int argc, char **argv)
{
  TouCtlOptions options;
  int code;

  tou_ctl_parse (&options, argc, argv);
  if (tou_ctl_is_check (&options))
    return (int)plat_config_check_files (options.args[2], options.against,
                                         options.json);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  code = tou_ctl_run (&options);
  curl_global_cleanup ();
  return code;
}
