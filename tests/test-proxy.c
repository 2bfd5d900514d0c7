/* Runs the scripts in tests/proxy, which connect clients through the session
 * proxy to simulated databases on loopback. The head of each script states the
 * failure it guards against. "test-proxy NAME" prints the transcript of one
 * script.
 */
#include "run-files.h"

#include "support/proxy-script.h"

int
main (int argc, char **argv)
{
  return run_files_main (argc, argv, TOU_TEST_DIR "/proxy", proxy_script_run);
}
