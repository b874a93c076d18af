/*
 * test-crowd-lookups.c: guards against a front that exceeds the memory of its machine because many callers
 * send large or incomplete lookups, streams or calls about batches at once.
 */
#include "crowd-cases.h"

int
main (void)
{
  GArray *tests = g_array_new (FALSE, FALSE, sizeof (struct CMUnitTest));
  crowd_add_all_forms (tests, "callers", "POST", "/l/%u", FALSE);
  crowd_add_test (tests, CROWD_FORM_SHORT, "callers", "POST", "/s/%u", FALSE);
  crowd_add_test (tests, CROWD_FORM_LARGE_CHUNKS, "callers", "DELETE", "/quinceroute/lots/crowd-%u", FALSE);
  crowd_add_test (tests, CROWD_FORM_SHORT, "callers", "POST", "/no-route/%u", FALSE);
  return crowd_run_tests (tests);
}
