/* Runs the scripts in tests/session, which call modules of the session proxy
 * without a network. The head of each script states the failure it guards
 * against. "test-session NAME" prints the transcript of one script.
 */
#include "run-files.h"

#include "support/session-script.h"

int
main (int argc, char **argv)
{
  return run_files_main (argc, argv, TOU_TEST_DIR "/session",
                         session_script_run);
}
