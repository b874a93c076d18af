/*
 * send-window.h: limits the bytes in flight from a leader to a backup: sent, but not acknowledged.
 *
 * Without a limit, the leader could buffer the whole log in memory for each slow backup.  Pure: no I/O and no
 * clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceSendWindow QuinceSendWindow;

/* @max_bytes: the window is closed while at least this many bytes are in flight */
QuinceSendWindow *quince_send_window_new (gsize max_bytes);
void quince_send_window_free (QuinceSendWindow *window);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceSendWindow, quince_send_window_free)
/* Adds a sent message with records up to @last_index; @bytes: size of the records */
void quince_send_window_add_message (QuinceSendWindow *window, guint64 last_index, gsize bytes);
/* Removes the messages whose records the backup has on disk: those up to @last_index. */
void quince_send_window_acknowledge (QuinceSendWindow *window, guint64 last_index);
/* Returns whether another message may be sent. */
gboolean quince_send_window_is_open (const QuinceSendWindow *window);

G_END_DECLS
