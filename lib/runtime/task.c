/*
 * task.c: tasks, mailboxes and timers.
 */
#include "runtime/task.h"

#include <errno.h>
#include <time.h>

struct _QuinceMailbox
{
  gatomicrefcount references;
  GAsyncQueue *messages;                    /* any thread                                */
  GSource *source;                          /* owner's context; wakes for messages       */
  QuinceMailboxHandler handler;             /* constant                                 */
  void (*after_drain) (gpointer user_data); /* constant                     */
  gpointer user_data;                       /* constant                                  */
  GDestroyNotify message_free;              /* constant                                  */
  gint closed;                              /* atomic                                    */
  gint posted;                              /* atomic; orders a post before its handling */
};

/* Messages handled before other sources of the context get their turn. */
#define MAILBOX_RUN 256

typedef struct
{
  GSource source;
  QuinceMailbox *mailbox; /* atomic: the owner's thread may run already when it is set */
} MailboxSource;

static QuinceMailbox *
get_mailbox (GSource *source)
{
  return g_atomic_pointer_get (&((MailboxSource *)source)->mailbox);
}

static gboolean
mailbox_prepare (GSource *source, int *timeout)
{
  *timeout = -1;
  return g_async_queue_length (get_mailbox (source)->messages) > 0;
}

static gboolean
mailbox_check (GSource *source)
{
  return g_async_queue_length (get_mailbox (source)->messages) > 0;
}

static gboolean
mailbox_dispatch (GSource *source, GSourceFunc callback, gpointer user_data)
{
  QuinceMailbox *mailbox = quince_mailbox_ref (get_mailbox (source));
  for (guint i = 0; i < MAILBOX_RUN && !g_atomic_int_get (&mailbox->closed); i++)
    {
      gpointer message = g_async_queue_try_pop (mailbox->messages);
      if (message == NULL)
        break;
      /* GLib's queue orders this too; the thread sanitizer does not see into GLib. */
      (void)g_atomic_int_get (&mailbox->posted);
      mailbox->handler (message, mailbox->user_data);
    }
  if (mailbox->after_drain != NULL && !g_atomic_int_get (&mailbox->closed))
    mailbox->after_drain (mailbox->user_data);
  quince_mailbox_unref (mailbox);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs mailbox_functions = {
  .prepare = mailbox_prepare,
  .check = mailbox_check,
  .dispatch = mailbox_dispatch,
};

QuinceMailbox *
quince_mailbox_new (GMainContext *context,
                    QuinceMailboxHandler handler,
                    GDestroyNotify message_free,
                    void (*after_drain) (gpointer user_data),
                    gpointer user_data)
{
  QuinceMailbox *mailbox = g_new0 (QuinceMailbox, 1);
  g_atomic_ref_count_init (&mailbox->references);
  mailbox->messages = g_async_queue_new_full (message_free);
  mailbox->handler = handler;
  mailbox->after_drain = after_drain;
  mailbox->user_data = user_data;
  mailbox->message_free = message_free;
  mailbox->source = g_source_new (&mailbox_functions, sizeof (MailboxSource));
  g_atomic_pointer_set (&((MailboxSource *)mailbox->source)->mailbox, mailbox);
  g_source_attach (mailbox->source, context);
  return mailbox;
}

QuinceMailbox *
quince_mailbox_ref (QuinceMailbox *mailbox)
{
  g_atomic_ref_count_inc (&mailbox->references);
  return mailbox;
}

void
quince_mailbox_unref (QuinceMailbox *mailbox)
{
  if (!g_atomic_ref_count_dec (&mailbox->references))
    return;
  if (!g_atomic_int_get (&mailbox->closed))
    g_source_destroy (mailbox->source);
  g_source_unref (mailbox->source);
  g_async_queue_unref (mailbox->messages);
  g_free (mailbox);
}

void
quince_mailbox_close (QuinceMailbox *mailbox)
{
  if (g_atomic_int_compare_and_exchange (&mailbox->closed, FALSE, TRUE))
    g_source_destroy (mailbox->source);
}

void
quince_mailbox_post (QuinceMailbox *mailbox, gpointer message)
{
  if (g_atomic_int_get (&mailbox->closed))
    {
      if (mailbox->message_free != NULL)
        mailbox->message_free (message);
      return;
    }
  g_atomic_int_inc (&mailbox->posted);
  g_async_queue_push (mailbox->messages, message);
  GMainContext *context = g_source_get_context (mailbox->source);
  if (context != NULL)
    g_main_context_wakeup (context);
}

guint
quince_mailbox_get_length (QuinceMailbox *mailbox)
{
  int length = g_async_queue_length (mailbox->messages);
  return length > 0 ? (guint)length : 0;
}

struct _QuinceTask
{
  GThread *thread;                       /* creator                         */
  GMainContext *context;                 /* constant                        */
  GMainLoop *loop;                       /* constant                        */
  void (*setup) (gpointer user_data);    /* constant                        */
  void (*teardown) (gpointer user_data); /* constant                        */
  gpointer user_data;                    /* constant                        */
};

static gpointer
task_main (gpointer data)
{
  QuinceTask *task = data;
  g_main_context_push_thread_default (task->context);
  task->setup (task->user_data);
  g_main_loop_run (task->loop);
  if (task->teardown != NULL)
    task->teardown (task->user_data);
  g_main_context_pop_thread_default (task->context);
  return NULL;
}

QuinceTask *
quince_task_start (const char *name,
                   void (*setup) (gpointer user_data),
                   void (*teardown) (gpointer user_data),
                   gpointer user_data)
{
  QuinceTask *task = g_new0 (QuinceTask, 1);
  task->context = g_main_context_new ();
  task->loop = g_main_loop_new (task->context, FALSE);
  task->setup = setup;
  task->teardown = teardown;
  task->user_data = user_data;
  task->thread = g_thread_new (name, task_main, task);
  return task;
}

GMainContext *
quince_task_get_context (QuinceTask *task)
{
  return task->context;
}

static gboolean
quit_loop (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

void
quince_task_stop (QuinceTask *task)
{
  /* An idle source, since a quit before the loop runs would be lost. */
  g_autoptr (GSource) source = g_idle_source_new ();
  g_source_set_priority (source, G_PRIORITY_DEFAULT);
  g_source_set_callback (source, quit_loop, task->loop, NULL);
  g_source_attach (source, task->context);
  g_thread_join (task->thread);
  g_main_loop_unref (task->loop);
  g_main_context_unref (task->context);
  g_free (task);
}

GSource *
quince_timer_add (guint interval_ms, GSourceFunc function, gpointer user_data)
{
  GSource *source = g_timeout_source_new (interval_ms);
  g_source_set_callback (source, function, user_data, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
  return source;
}

void
quince_source_clear (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_source_unref (*source);
  *source = NULL;
}

gint64
quince_now_us (void)
{
  struct timespec now;
  if (clock_gettime (CLOCK_BOOTTIME, &now) != 0)
    g_error ("the kernel has no CLOCK_BOOTTIME: %s", g_strerror (errno));
  return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

gint64
quince_wall_ms (void)
{
  return g_get_real_time () / 1000;
}
