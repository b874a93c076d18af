/*
 * send-window.c: bytes on their way to a backup, by message.
 */
#include "core/group/send-window.h"

/* One message that is not acknowledged yet. */
typedef struct
{
  guint64 last_index;
  gsize bytes;
} Sent;

struct _QuinceSendWindow
{
  gsize max_bytes;
  gsize bytes;
  GQueue messages; /* Sent, owned, the oldest first */
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
  const Sent sent = { .last_index = last_index, .bytes = bytes };
  g_queue_push_tail (&window->messages, g_memdup2 (&sent, sizeof sent));
  window->bytes += bytes;
}

void
quince_send_window_acknowledge (QuinceSendWindow *window, guint64 last_index)
{
  for (Sent *sent = g_queue_peek_head (&window->messages); sent != NULL && sent->last_index <= last_index;
       sent = g_queue_peek_head (&window->messages))
    {
      window->bytes -= sent->bytes;
      g_free (g_queue_pop_head (&window->messages));
    }
}

gboolean
quince_send_window_is_open (const QuinceSendWindow *window)
{
  return window->bytes < window->max_bytes;
}
