/*
 * test-http-pipelining.c: guards against requests sent ahead that add to the depth of the stack and are
 * copied for each of them, so that the process ends, and that keep other connections from being served.
 */
#include <string.h>

#include "http-peer.h"
#include "runtime/timer.h"

#define SMALL_REQUEST "GET / HTTP/1.1\r\n\r\n"
/* Within what a connection buffers behind a message. */
#define N_REQUESTS 13000
#define SEND_REQUESTS 500
/* Messages that may be read in a turn of the main loop. */
#define TURN_MESSAGES_MAX 64
#define TURNS_MIN (N_REQUESTS / TURN_MESSAGES_MAX)

static gboolean
count_turn (gpointer data)
{
  (*(guint *)data)++;
  return G_SOURCE_CONTINUE;
}

static void
send_requests (Peer *peer, guint count)
{
  g_autoptr (GString) bytes = g_string_new (NULL);
  for (guint i = 0; i < count; i++)
    g_string_append (bytes, SMALL_REQUEST);
  peer_send (peer, bytes->str, bytes->len);
}

static void
run_until_complete (Peer *peer, guint n_messages)
{
  for (guint i = 0; i < PEER_ITERATIONS_MAX && peer->n_complete < n_messages; i++)
    g_main_context_iteration (NULL, FALSE);
  assert_int_equal (peer->n_complete, n_messages);
}

/* The first request waits for its answer while the others arrive; each of them is answered at once. */
static void
test_requests_sent_ahead (void **state)
{
  Peer peer;
  guint turns = 0;
  peer_init (&peer, FALSE);
  peer.withholds_next = TRUE;
  send_requests (&peer, 1);
  run_until_complete (&peer, 1);
  for (guint sent = 0; sent < N_REQUESTS; sent += SEND_REQUESTS)
    send_requests (&peer, SEND_REQUESTS);
  for (guint i = 0; i < SEND_REQUESTS; i++)
    g_main_context_iteration (NULL, FALSE);
  peer.withholds_next = FALSE;
  QuinceTimer *timer = quince_timer_add (0, count_turn, &turns);
  quince_http_connection_next (peer.connection);
  run_until_complete (&peer, 1 + N_REQUESTS);
  assert_int_equal (peer.depth_max, 1);
  assert_true (turns >= TURNS_MIN);
  quince_timer_clear (&timer);
  peer_clear (&peer);
}

/* A request that arrives while earlier ones wait for their turn is read after them. */
static void
test_order_of_requests (void **state)
{
  Peer peer;
  peer_init (&peer, FALSE);
  peer.withholds_next = TRUE;
  send_requests (&peer, 2 * TURN_MESSAGES_MAX + 1);
  run_until_complete (&peer, 1);
  peer.withholds_next = FALSE;
  quince_http_connection_next (peer.connection);
  assert_in_range (peer.n_complete, 2, 1 + TURN_MESSAGES_MAX);
  static const char last[] = "GET /last HTTP/1.1\r\n\r\n";
  peer_send (&peer, last, strlen (last));
  run_until_complete (&peer, 2 * TURN_MESSAGES_MAX + 2);
  assert_true (g_str_has_suffix (peer.record->str, ";GET /last|;"));
  assert_non_null (strstr (peer.record->str, "GET /|;GET /last|;"));
  peer_clear (&peer);
}

/* The owner closes the connection while requests wait for their turn. */
static void
test_close_between_turns (void **state)
{
  for (guint callbacks = 2; callbacks <= 4 * TURN_MESSAGES_MAX; callbacks++)
    {
      Peer peer;
      peer_init (&peer, FALSE);
      peer.callbacks_to_stop = callbacks;
      send_requests (&peer, 3 * TURN_MESSAGES_MAX);
      for (guint i = 0; i < PEER_ITERATIONS_MAX && peer.state != PEER_ENDED; i++)
        g_main_context_iteration (NULL, FALSE);
      assert_int_equal (peer.state, PEER_ENDED);
      peer_clear (&peer);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_sent_ahead),
    cmocka_unit_test (test_order_of_requests),
    cmocka_unit_test (test_close_between_turns),
  };
  return cmocka_run_group_tests_name ("http-pipelining", tests, NULL, NULL);
}
