/* Runs the scripts in tests/connections, in which nodes reach the store over
 * connections that go silent. The head of each script states the failure it
 * guards against. "test-connections NAME" prints the transcript of one script.
 */
#include "run-files.h"

#include "control/connections-script.h"

int
main (int argc, char **argv)
{
  return run_files_main (argc, argv, TOU_TEST_DIR "/connections",
                         connections_script_run);
}
