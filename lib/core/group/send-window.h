/*
 * send-window.h: how much a leader sends to a backup that has not acknowledged it yet.  Pure.
 *
 * Without a bound the whole log would wait in the memory of a leader for each backup that reads slowly.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceSendWindow QuinceSendWindow;

/* @max_bytes: no more is sent while so much is not acknowledged */
QuinceSendWindow *quince_send_window_new (gsize max_bytes);
void quince_send_window_free (QuinceSendWindow *window);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceSendWindow, quince_send_window_free)
/* Records up to @last_index, @bytes of them, were sent. */
void quince_send_window_sent (QuinceSendWindow *window, guint64 last_index, gsize bytes);
/* The backup holds all records up to @last_index. */
void quince_send_window_acknowledged (QuinceSendWindow *window, guint64 last_index);
gboolean quince_send_window_is_open (const QuinceSendWindow *window);

G_END_DECLS
