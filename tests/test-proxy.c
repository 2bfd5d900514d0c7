/* Runs the scripts in tests/proxy. They put the session proxy between callers
 * and databases on loopback; each says which failure it guards against.
 * "test-proxy NAME" prints the transcript of one script.
 */
#include "run-files.h"

#include "support/proxy-script.h"

int
main (int argc, char **argv)
{
  return run_files_main (argc, argv, TOU_TEST_DIR "/proxy", proxy_script_run);
}
