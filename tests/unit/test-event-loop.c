/*
 * test-event-loop.c: tests of links, socket watches and timers on the main loop.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "runtime/link.h"
#include "runtime/socket-watch.h"
#include "runtime/tcp-socket.h"
#include "runtime/timer.h"

/* With one poll descriptor for each link, the main loop would exceed POLLED_DESCRIPTORS_MAX. */
#define N_LINKS 200
/* Limit of descriptors that the main loop polls; it needs its wake-up descriptor and the epoll descriptor. */
#define POLLED_DESCRIPTORS_MAX 4

static void
iterate_main_loop (void)
{
  g_main_context_iteration (NULL, FALSE);
}

static void
run_loop_until_us (gint64 end_us)
{
  while (g_get_monotonic_time () < end_us)
    iterate_main_loop ();
}

/* ---- Links ---------------------------------------------------------------------- */

typedef struct
{
  GPtrArray *accepted; /* QuinceLink *, owned */
  guint messages;
  guint connected;
} LinkEvents;

static void
on_accepted (QuinceLink *link, gpointer data)
{
  g_ptr_array_add (((LinkEvents *)data)->accepted, link);
}

static void
on_connected (QuinceLink *link, gpointer data)
{
  ((LinkEvents *)data)->connected++;
}

static void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  ((LinkEvents *)data)->messages++;
  quince_message_free (message);
}

static const QuinceLinkCallbacks callbacks = { .connected = on_connected, .message = on_message };

/* Returns: the number of descriptors that the next main loop iteration polls */
static guint
count_polled_descriptors (void)
{
  GMainContext *context = g_main_context_default ();
  assert_true (g_main_context_acquire (context));
  gint priority;
  gint timeout_ms;
  GPollFD polled[2 * N_LINKS + 16];
  g_main_context_prepare (context, &priority);
  gint count = g_main_context_query (context, G_PRIORITY_DEFAULT, &timeout_ms, polled, G_N_ELEMENTS (polled));
  g_main_context_check (context, priority, polled, 0);
  g_main_context_release (context);
  return (guint)count;
}

static void
send_text (QuinceLink *link, guint bytes)
{
  g_autofree char *text = g_strnfill (bytes, 'x');
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT_ACK };
  message.QuinceMessage_u.heartbeat_ack.node = text;
  quince_link_send (link, &message);
}

/* Guards against main loop iterations whose cost grows with the number of idle links. */
static void
test_links_add_no_polled_descriptors (void **state)
{
  LinkEvents events = { .accepted = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref) };
  g_autoptr (QuinceLinkServer) server
      = quince_link_server_new ("127.0.0.1:0", &callbacks, on_accepted, &events, NULL);
  g_autoptr (GPtrArray) links = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  for (guint i = 0; i < N_LINKS; i++)
    g_ptr_array_add (links,
                     quince_link_connect (quince_link_server_get_address (server), &callbacks, &events));
  while (events.accepted->len < N_LINKS || events.connected < N_LINKS)
    iterate_main_loop ();
  assert_true (count_polled_descriptors () <= POLLED_DESCRIPTORS_MAX);
  for (guint i = 0; i < N_LINKS; i++)
    send_text (links->pdata[i], i);
  while (events.messages < N_LINKS)
    iterate_main_loop ();
  g_ptr_array_unref (events.accepted);
}

/* Messages that exceed the kernel's send buffer are queued, and all of them arrive, also if small messages
 * are sent in between. */
static void
test_large_messages_are_delivered (void **state)
{
  LinkEvents events = { .accepted = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref) };
  g_autoptr (QuinceLinkServer) server
      = quince_link_server_new ("127.0.0.1:0", &callbacks, on_accepted, &events, NULL);
  g_autoptr (QuinceLink) link
      = quince_link_connect (quince_link_server_get_address (server), &callbacks, &events);
  while (events.accepted->len < 1 || events.connected < 1)
    iterate_main_loop ();
  for (guint i = 0; i < 12; i++)
    {
      send_text (link, 1000 * 1000 * (i % 2));
      iterate_main_loop ();
    }
  while (events.messages < 12)
    iterate_main_loop ();
  assert_int_equal (quince_link_get_bytes_sent (link) / 1000000, 6);
  g_ptr_array_unref (events.accepted);
}

/* ---- Watches ---------------------------------------------------------------------- */

typedef struct
{
  QuinceSocketWatch *watches[2];
  guint calls;
} WatchPair;

static void
clear_both_watches (GIOCondition condition, gpointer data)
{
  WatchPair *pair = data;
  pair->calls++;
  quince_socket_watch_clear (&pair->watches[0]);
  quince_socket_watch_clear (&pair->watches[1]);
}

static GSocket *
new_listener (void)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new (loopback, 0);
  assert_true (g_socket_bind (socket, address, TRUE, NULL) && g_socket_listen (socket, NULL));
  return socket;
}

static GSocket *
connect_to (GSocket *listener)
{
  g_autoptr (GSocketAddress) address = g_socket_get_local_address (listener, NULL);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  assert_true (g_socket_connect (socket, address, NULL, NULL));
  return socket;
}

/* The first of two ready callbacks clears both watches.  The second must not be called. */
static void
test_watch_cleared_by_another (void **state)
{
  g_autoptr (GSocket) listener = new_listener ();
  g_autoptr (GSocket) first = connect_to (listener);
  g_autoptr (GSocket) second = connect_to (listener);
  WatchPair pair = { 0 };
  pair.watches[0] = quince_socket_watch_new (first, G_IO_OUT, clear_both_watches, &pair);
  pair.watches[1] = quince_socket_watch_new (second, G_IO_OUT, clear_both_watches, &pair);
  while (pair.calls == 0)
    iterate_main_loop ();
  iterate_main_loop ();
  assert_int_equal (pair.calls, 1);
}

/* The first of two deferred callbacks clears both watches.  The second must not be called. */
static void
test_deferred_watch_cleared_by_another (void **state)
{
  g_autoptr (GSocket) listener = new_listener ();
  g_autoptr (GSocket) other = new_listener ();
  WatchPair pair = { 0 };
  pair.watches[0] = quince_socket_watch_new (listener, G_IO_IN, clear_both_watches, &pair);
  pair.watches[1] = quince_socket_watch_new (other, G_IO_IN, clear_both_watches, &pair);
  quince_socket_watch_defer_output (pair.watches[0]);
  quince_socket_watch_defer_output (pair.watches[1]);
  iterate_main_loop ();
  iterate_main_loop ();
  assert_int_equal (pair.calls, 1);
}

/* ---- Timers ---------------------------------------------------------------------- */

static GString *call_log;

static gboolean
record_a (gpointer data)
{
  g_string_append_c (call_log, 'a');
  return G_SOURCE_REMOVE;
}

static gboolean
record_b (gpointer data)
{
  g_string_append_c (call_log, 'b');
  return G_SOURCE_REMOVE;
}

static gboolean
record_tick (gpointer data)
{
  g_string_append_c (call_log, '.');
  return G_SOURCE_CONTINUE;
}

static gboolean
clear_timer (gpointer data)
{
  g_string_append_c (call_log, 'c');
  quince_timer_clear (data);
  return G_SOURCE_CONTINUE;
}

static void
test_timers_in_order (void **state)
{
  call_log = g_string_new (NULL);
  QuinceTimer *timer_b = quince_timer_add (20, record_b, NULL);
  QuinceTimer *timer_a = quince_timer_add (5, record_a, NULL);
  QuinceTimer *cleared_timer = quince_timer_add (10, record_tick, NULL);
  quince_timer_clear (&cleared_timer);
  assert_null (cleared_timer);
  while (call_log->len < 2)
    g_main_context_iteration (NULL, TRUE);
  assert_string_equal (call_log->str, "ab");
  run_loop_until_us (g_get_monotonic_time () + 30 * 1000);
  assert_string_equal (call_log->str, "ab");
  quince_timer_clear (&timer_a);
  quince_timer_clear (&timer_b);
  g_string_free (call_log, TRUE);
}

/* A timer with an interval of 0 is called once in each iteration and does not block it. */
static void
test_zero_interval_timer (void **state)
{
  call_log = g_string_new (NULL);
  QuinceTimer *timer = quince_timer_add (0, record_tick, NULL);
  iterate_main_loop ();
  assert_string_equal (call_log->str, ".");
  iterate_main_loop ();
  assert_string_equal (call_log->str, "..");
  quince_timer_clear (&timer);
  g_string_free (call_log, TRUE);
}

static void
test_timer_cleared_in_callback (void **state)
{
  call_log = g_string_new (NULL);
  QuinceTimer *timer = quince_timer_add (1, clear_timer, &timer);
  while (call_log->len == 0)
    g_main_context_iteration (NULL, TRUE);
  run_loop_until_us (g_get_monotonic_time () + 10 * 1000);
  assert_string_equal (call_log->str, "c");
  assert_null (timer);
  g_string_free (call_log, TRUE);
}

/* A timer that is late by several intervals is called only once. */
static void
test_late_timer_is_called_once (void **state)
{
  call_log = g_string_new (NULL);
  QuinceTimer *timer = quince_timer_add (5, record_tick, NULL);
  g_usleep (30 * 1000);
  iterate_main_loop ();
  assert_string_equal (call_log->str, ".");
  quince_timer_clear (&timer);
  g_string_free (call_log, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_links_add_no_polled_descriptors),
    cmocka_unit_test (test_large_messages_are_delivered),
    cmocka_unit_test (test_watch_cleared_by_another),
    cmocka_unit_test (test_deferred_watch_cleared_by_another),
    cmocka_unit_test (test_timers_in_order),
    cmocka_unit_test (test_zero_interval_timer),
    cmocka_unit_test (test_timer_cleared_in_callback),
    cmocka_unit_test (test_late_timer_is_called_once),
  };
  return cmocka_run_group_tests_name ("event-loop", tests, NULL, NULL);
}
