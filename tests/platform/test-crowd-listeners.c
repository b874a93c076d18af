/*
 * test-crowd-listeners.c: guards against a front that exceeds the memory of its machine because many callers
 * send bodies to the listeners of the readiness check, of the directory and of the metrics, whose requests
 * have none.
 */
#include "crowd-cases.h"

int
main (void)
{
  GArray *tests = g_array_new (FALSE, FALSE, sizeof (struct CMUnitTest));
  crowd_add_all_forms (tests, "ready", "GET", "/quinceroute/readyz", FALSE);
  crowd_add_all_forms (tests, "directory", "GET", "/quinceroute/resolve?name=" PATH_HOST, FALSE);
  crowd_add_all_forms (tests, "metrics", "GET", "/metrics", FALSE);
  return crowd_run_tests (tests);
}
