/*
 * test-endless-streams.c: guards against memory, time and connections of a front that workers take by
 * streams whose heads or events do not end, and that callers take who do not read.
 */
#include "endless-front.h"
#include "raw.h"

/* ---- Streams -------------------------------------------------------------- */

static void
test_stream_answers (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (endless_answers); i++)
    {
      check_all_endless (&scene.model, &endless_answers[i], "/s/endless", "/l/sound", EVENT_MAX_BYTES,
                         STREAM_TIME_MAX_MS);
      check_one_endless (&scene.model, &endless_answers[i], "/s/endless");
    }
}

static void
test_stream_events (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (endless_events); i++)
    {
      check_all_endless (&scene.model, &endless_events[i], "/s/endless", "/l/sound", EVENT_MAX_BYTES,
                         STREAM_TIME_MAX_MS);
      check_one_endless (&scene.model, &endless_events[i], "/s/endless");
    }
}

/* A stream that may not be repeated runs once, whatever its worker sends. */
static void
test_streams_once (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (endless_answers); i++)
    {
      guint n_calls = endless_get_n_calls (&scene.model);
      check_all_endless (&scene.model, &endless_answers[i], "/u/endless", "/l/sound", EVENT_MAX_BYTES,
                         STREAM_TIME_MAX_MS);
      assert_int_equal (endless_get_n_calls (&scene.model), n_calls + 1);
    }
  for (guint i = 0; i < G_N_ELEMENTS (endless_events); i++)
    {
      guint n_calls = endless_get_n_calls (&scene.model);
      check_all_endless (&scene.model, &endless_events[i], "/u/endless", "/l/sound", EVENT_MAX_BYTES,
                         STREAM_TIME_MAX_MS);
      assert_int_equal (endless_get_n_calls (&scene.model), n_calls + 1);
    }
}

/* Events in order are passed on until the caller's time is over. */
static void
test_endless_stream (void **state)
{
  static const char *const targets[] = { "/s/endless", "/u/endless" };
  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    check_all_endless (&scene.model, &endless_stream, targets[i], "/l/sound", UNREAD_MAX_BYTES,
                       STREAM_TIME_MAX_MS);
}

/* Callers that do not read their endless streams bound what is read of the workers. */
static void
test_callers_that_do_not_read (void **state)
{
  static const char *const targets[] = { "/s/unread", "/u/unread" };
  RawCaller *callers[MANY_CALLS];
  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      guint64 n_bytes = endless_get_n_bytes (&scene.model);
      endless_set (&scene.model, &endless_stream);
      EndlessCost cost = endless_cost_begin (scene.path->fronts[0]);
      for (guint j = 0; j < MANY_CALLS; j++)
        {
          g_autofree char *request
              = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Id: unread-%u-%u\r\n"
                                 "Request-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi",
                                 targets[i], i, j);
          callers[j] = raw_connect (path_front (scene.path, 0));
          raw_send (callers[j], request);
        }
      gint64 end = g_get_monotonic_time () + 1000 * 1000;
      AWAIT (endless_cost_measure (&cost) && g_get_monotonic_time () > end);
      AWAIT (endless_cost_measure (&cost) && endless_get_n_open (&scene.model) == 0);
      n_bytes = endless_get_n_bytes (&scene.model) - n_bytes;
      endless_cost_end (&cost, targets[i], (guint64)MANY_CALLS * UNREAD_MAX_BYTES / 2, n_bytes);
      if (n_bytes > (guint64)MANY_CALLS * KERNEL_MAX_BYTES)
        fail_msg ("workers wrote %u MiB to callers that did not read", (guint)(n_bytes >> 20));
      for (guint j = 0; j < MANY_CALLS; j++)
        raw_free (callers[j]);
      endless_set (&scene.model, NULL);
      AWAIT (is_answered ("/s/after"));
    }
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    CASE (test_stream_answers),
    CASE (test_stream_events),
    CASE (test_streams_once),
    CASE (test_endless_stream),
    CASE (test_callers_that_do_not_read),
  };
  return cmocka_run_group_tests_name ("endless-streams", tests, NULL, NULL);
}
