/*
 * send-window.h: bounds the bytes that a leader has sent to a backup without an acknowledgement.
 *
 * Without a bound the whole log would wait in the memory of a leader for each backup that reads slowly.  Owns
 * the list of messages on their way.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceSendWindow QuinceSendWindow;

/* @max_bytes: the window is closed while so many bytes are not acknowledged */
QuinceSendWindow *quince_send_window_new (gsize max_bytes);
void quince_send_window_free (QuinceSendWindow *window);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceSendWindow, quince_send_window_free)
/* A message with records up to @last_index was sent; @bytes: size of the records */
void quince_send_window_add_message (QuinceSendWindow *window, guint64 last_index, gsize bytes);
/* The backup has all records up to @last_index on disk. */
void quince_send_window_acknowledge (QuinceSendWindow *window, guint64 last_index);
gboolean quince_send_window_is_open (const QuinceSendWindow *window);

G_END_DECLS
