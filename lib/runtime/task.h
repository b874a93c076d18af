/*
 * task.h: tasks that own their sockets and state, and talk by messages.
 *
 * A task is a thread with its own GMainContext.  A mailbox belongs to one
 * context: any thread posts typed messages, the handler runs on the owner.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

typedef struct _QuinceMailbox QuinceMailbox;

/**
 * QuinceMailboxHandler:
 * @message: (transfer full): the posted message
 *
 * Runs in the mailbox owner's context.
 */
typedef void (*QuinceMailboxHandler) (gpointer message, gpointer user_data);

/**
 * quince_mailbox_new:
 * @context: (nullable): owner's context; %NULL for the default one
 * @handler: called for each message, in order of posting
 * @message_free: frees messages that are never handled
 * @after_drain: (nullable): called once after each run of messages, so that
 *   a task can batch its writes
 */
QuinceMailbox *quince_mailbox_new (GMainContext *context,
                                   QuinceMailboxHandler handler,
                                   GDestroyNotify message_free,
                                   void (*after_drain) (gpointer user_data),
                                   gpointer user_data);
QuinceMailbox *quince_mailbox_ref (QuinceMailbox *mailbox);
void quince_mailbox_unref (QuinceMailbox *mailbox);

/* Stops handling; messages posted later are freed.  Owner's context only. */
void quince_mailbox_close (QuinceMailbox *mailbox);

/* Posts @message (transfer full).  Any thread. */
void quince_mailbox_post (QuinceMailbox *mailbox, gpointer message);

/* Messages that wait.  Any thread; an estimate. */
guint quince_mailbox_get_length (QuinceMailbox *mailbox);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMailbox, quince_mailbox_unref)

typedef struct _QuinceTask QuinceTask;

/**
 * quince_task_start:
 * @name: thread name, at most 15 bytes
 * @setup: runs first on the new thread, with its context as thread default
 * @teardown: (nullable): runs last on that thread
 *
 * Returns: (transfer full): the task; quince_task_stop() ends and frees it
 */
QuinceTask *quince_task_start (const char *name,
                               void (*setup) (gpointer user_data),
                               void (*teardown) (gpointer user_data),
                               gpointer user_data);
GMainContext *quince_task_get_context (QuinceTask *task);
void quince_task_stop (QuinceTask *task);

/* Timers on the calling thread's default context.  They run on the steady clock, which stands still while the
 * machine is suspended: what a timer wakes looks at quince_now_us(); see also suspension.h.  The source is
 * owned by the caller: g_source_destroy() and g_source_unref() it, see quince_source_clear(). */
GSource *quince_timer_add (guint interval_ms, GSourceFunc function, gpointer user_data);
void quince_source_clear (GSource **source);

/* Microseconds of CLOCK_BOOTTIME, the clock of every right that ends: it goes on while the machine is
 * suspended, as the clocks of all other machines do.  And milliseconds of wall clock. */
gint64 quince_now_us (void);
gint64 quince_wall_ms (void);

G_END_DECLS
