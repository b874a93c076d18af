/*
 * link.c: opens, closes and measures links.
 */
#include "link-private.h"

#include "runtime/clock.h"
#include "runtime/tcp-socket.h"

/* A probe's contents may be this old when it is sent again: two heartbeat intervals.  They name the silent
 * fronts, so that those of a link without heartbeats must not be repeated. */
#define REPEATED_PROBE_MAX_AGE_US (500 * 1000)

G_DEFINE_QUARK (quince - link - error - quark, quince_link_error)

QuinceLink *
quince_link_ref (QuinceLink *link)
{
  g_ref_count_inc (&link->references);
  return link;
}

void
quince_link_unref (QuinceLink *link)
{
  if (!g_ref_count_dec (&link->references))
    return;
  quince_link_close (link);
  g_clear_object (&link->socket);
  g_clear_error (&link->connect_error);
  g_byte_array_unref (link->input);
  quince_memory_hold_free (link->input_hold);
  quince_output_queue_free (link->output);
  g_clear_pointer (&link->last_probe, g_bytes_unref);
  g_free (link);
}

static QuinceLink *
link_new (const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = g_new0 (QuinceLink, 1);
  g_ref_count_init (&link->references);
  link->callbacks = callbacks;
  link->user_data = user_data;
  link->input = g_byte_array_new ();
  link->output = quince_output_queue_new ();
  link->is_open = TRUE;
  return link;
}

void
quince_link_close (QuinceLink *link)
{
  if (!link->is_open)
    return;
  link->is_open = FALSE;
  quince_output_queue_clear (link->output);
  quince_timer_clear (&link->connect_error_timer);
  quince_timer_clear (&link->overflow_timer);
  quince_socket_watch_clear (&link->watch);
  /* Shuts the socket down instead of closing it: a close with unread input would reset the connection, and
   * the peer would lose bytes that it has not read. */
  if (link->socket != NULL)
    g_socket_shutdown (link->socket, TRUE, TRUE, NULL);
}

void
quince_link_fail (QuinceLink *link, const GError *error)
{
  if (!link->is_open)
    return;
  quince_link_ref (link);
  quince_link_close (link);
  if (link->callbacks->closed != NULL)
    link->callbacks->closed (link, error, link->user_data);
  quince_link_unref (link);
}

void
quince_link_fail_code (QuinceLink *link, QuinceLinkError code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (QUINCE_LINK_ERROR, code, text);
  quince_link_fail (link, error);
}

/* ---- Connecting ------------------------------------------------------- */

static void
connect_ready (QuinceLink *link)
{
  g_autoptr (GError) error = NULL;
  if (!g_socket_check_connect_result (link->socket, &error))
    {
      quince_link_fail (link, error);
      return;
    }
  link->is_connecting = FALSE;
  quince_socket_watch_set_condition (link->watch, G_IO_IN);
  if (quince_link_get_unsent_bytes (link) > 0)
    quince_socket_watch_defer_output (link->watch);
  if (link->callbacks->connected != NULL)
    link->callbacks->connected (link, link->user_data);
}

/* Reads before it writes: if the peer has sent its last messages and closed, a write would fail first. */
static void
socket_ready (GIOCondition condition, gpointer data)
{
  QuinceLink *link = data;
  quince_link_ref (link);
  if (link->is_connecting)
    connect_ready (link);
  else
    {
      if ((condition & ~G_IO_OUT) != 0)
        quince_link_read_input (link);
      if (link->is_open && (condition & G_IO_OUT) != 0)
        quince_link_write_output (link);
    }
  quince_link_unref (link);
}

static void
link_attach (QuinceLink *link, GSocket *socket, GIOCondition condition)
{
  link->socket = socket;
  g_socket_set_keepalive (socket, TRUE);
  link->watch = quince_socket_watch_new (socket, condition, socket_ready, link);
}

static gboolean
report_connect_error (gpointer data)
{
  QuinceLink *link = data;
  g_autoptr (GError) connect_error = g_steal_pointer (&link->connect_error);
  if (g_error_matches (connect_error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT))
    quince_link_fail_code (link, QUINCE_LINK_ERROR_ADDRESS, "address is not a numeric ip:port");
  else
    quince_link_fail (link, connect_error);
  return G_SOURCE_REMOVE;
}

QuinceLink *
quince_link_connect (const char *address, const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = link_new (callbacks, user_data);
  link->is_connecting = TRUE;
  GSocket *socket = quince_tcp_socket_connect (address, &link->connect_error);
  if (socket != NULL)
    link_attach (link, socket, G_IO_OUT);
  else
    /* Reported from the main loop, since the caller does not have the link yet. */
    link->connect_error_timer = quince_timer_add (0, report_connect_error, link);
  return link;
}

QuinceLink *
quince_link_new_accepted (GSocket *socket, const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = link_new (callbacks, user_data);
  quince_tcp_socket_set_options (socket);
  link_attach (link, socket, G_IO_IN);
  return link;
}

void
quince_link_send_probe (QuinceLink *link, GBytes *encoded)
{
  if (!link->is_open)
    return;
  quince_link_send_bytes (link, encoded);
  gint64 now_us = quince_now_us ();
  quince_delivery_meter_record_probe (&link->delivery_meter, now_us, link->bytes_queued);
  if (link->last_probe == encoded)
    return;
  g_clear_pointer (&link->last_probe, g_bytes_unref);
  link->last_probe = g_bytes_ref (encoded);
  link->last_probe_us = now_us;
}

void
quince_link_record_probe_answer (QuinceLink *link)
{
  gint64 now_us = quince_now_us ();
  QuinceDelivery delivery;
  if (quince_delivery_meter_record_answer (&link->delivery_meter, now_us, &delivery))
    quince_answer_allowance_record_delivery (&link->allowance, now_us, delivery.bytes, delivery.duration_us);
}

gboolean
quince_link_is_connected (QuinceLink *link)
{
  return link->is_open && !link->is_connecting;
}

/* Returns 0 while the link has unread input, which may contain the answer to a probe. */
static gsize
get_undelivered_bytes (QuinceLink *link)
{
  gsize bytes
      = quince_delivery_meter_get_backlog (&link->delivery_meter, quince_now_us (), link->bytes_queued);
  return bytes > 0 && !quince_link_has_input (link) ? bytes : 0;
}

gsize
quince_link_get_backlog (QuinceLink *link)
{
  gsize unacknowledged = link->socket != NULL ? quince_tcp_socket_get_unacknowledged_bytes (link->socket) : 0;
  return MAX (quince_link_get_unsent_bytes (link) + unacknowledged, get_undelivered_bytes (link));
}

gboolean
quince_link_has_input (QuinceLink *link)
{
  return quince_link_is_connected (link) && g_socket_condition_check (link->socket, G_IO_IN) != 0;
}

gsize
quince_link_acquire_answer (QuinceLink *link, gsize max_bytes)
{
  gint64 now_us = quince_now_us ();
  gsize bytes
      = quince_answer_allowance_acquire (&link->allowance, now_us, quince_link_get_backlog (link), max_bytes);
  if (bytes == 0)
    return 0;
  link->answer_start = link->bytes_queued;
  quince_delivery_meter_start_delivery (&link->delivery_meter, now_us, link->bytes_queued);
  return bytes;
}

void
quince_link_finish_answer (QuinceLink *link)
{
  quince_answer_allowance_record_size (&link->allowance, (gsize)(link->bytes_queued - link->answer_start));
  gboolean is_recent
      = link->last_probe != NULL && quince_now_us () - link->last_probe_us <= REPEATED_PROBE_MAX_AGE_US;
  if (is_recent && quince_delivery_meter_awaits_probe (&link->delivery_meter))
    quince_link_send_probe (link, link->last_probe);
}

guint64
quince_link_get_bytes_sent (QuinceLink *link)
{
  return link->bytes_sent;
}
