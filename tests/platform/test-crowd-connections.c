/*
 * test-crowd-connections.c: guards against a front that runs out of descriptors because callers connect and
 * send nothing, or only a part of a head.
 */
#include "crowd-cases.h"

/* More than the front may have open. */
#define CONNECTIONS (CROWD_DESCRIPTORS_MAX + 100)
/* Just below the limit of a head. */
#define HEAD_BYTES 15000

static const char *const listeners[] = { "callers", "ready", "directory", "metrics" };

static void
test_silent (void **state)
{
  static const CrowdCase silent = { .name = "silent", .n_callers = CONNECTIONS, .is_silent = TRUE };
  for (guint i = 0; i < G_N_ELEMENTS (listeners); i++)
    crowd_check (&silent, crowd_get_address (listeners[i]));
}

/* The target makes the head long, and its end is not sent. */
static void
test_partial_heads (void **state)
{
  g_autofree char *padding = g_strnfill (HEAD_BYTES, 'a');
  Crowd *crowds[G_N_ELEMENTS (listeners)];
  static const CrowdCase silent
      = { .name = "partial heads", .n_callers = CONNECTIONS / G_N_ELEMENTS (listeners), .is_silent = TRUE };
  g_autofree char *head = g_strconcat ("POST /l/", padding, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (listeners); i++)
    {
      crowds[i] = crowd_new (&silent, crowd_get_address (listeners[i]));
      for (guint j = 0; j < crowds[i]->callers->len; j++)
        g_string_assign (((CrowdCaller *)crowds[i]->callers->pdata[j])->buffer, head);
      crowd_send (crowds[i]);
    }
  crowd_check_ordinary ();
  for (guint i = 0; i < G_N_ELEMENTS (listeners); i++)
    crowd_free (crowds[i]);
  crowd_check_ordinary ();
  crowd_check_usage (silent.name);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { CROWD_CASE (test_silent), CROWD_CASE (test_partial_heads) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
