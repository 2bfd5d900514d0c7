/* Runs every script in tests/runs and compares its transcript with the
 * expected output. The head of each script states the failure it guards
 * against. "test-runs NAME" prints the transcript of one script.
 */
#include "run-files.h"

#include "support/script.h"

int
main (int argc, char **argv)
{
  return run_files_main (argc, argv, TOU_TEST_DIR "/runs", script_run);
}
