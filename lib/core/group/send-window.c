/*
 * send-window.c: counts the bytes in flight to a backup, by message.
 */
#include "core/group/send-window.h"

/* A message that is not acknowledged yet. */
typedef struct
{
  guint64 last_index;
  gsize bytes;
} InFlightMessage;

struct _QuinceSendWindow
{
  gsize max_bytes;
  gsize in_flight_bytes;
  GQueue messages; /* InFlightMessage, owned, oldest first */
};

QuinceSendWindow *
quince_send_window_new (gsize max_bytes)
{
  QuinceSendWindow *window = g_new0 (QuinceSendWindow, 1);
  window->max_bytes = max_bytes;
  g_queue_init (&window->messages);
  return window;
}

void
quince_send_window_free (QuinceSendWindow *window)
{
  if (window == NULL)
    return;
  g_queue_clear_full (&window->messages, g_free);
  g_free (window);
}

void
quince_send_window_add_message (QuinceSendWindow *window, guint64 last_index, gsize bytes)
{
  const InFlightMessage message = { .last_index = last_index, .bytes = bytes };
  g_queue_push_tail (&window->messages, g_memdup2 (&message, sizeof message));
  window->in_flight_bytes += bytes;
}

void
quince_send_window_acknowledge (QuinceSendWindow *window, guint64 last_index)
{
  for (InFlightMessage *message = g_queue_peek_head (&window->messages);
       message != NULL && message->last_index <= last_index; message = g_queue_peek_head (&window->messages))
    {
      window->in_flight_bytes -= message->bytes;
      g_free (g_queue_pop_head (&window->messages));
    }
}

gboolean
quince_send_window_is_open (const QuinceSendWindow *window)
{
  return window->in_flight_bytes < window->max_bytes;
}
