/*
 * timer.c: timers of a thread in the order of their times, one source of its main loop for all.
 */
#include "runtime/timer.h"

/* The source of one thread.  It lives as long as it has timers. */
typedef struct
{
  GSource source;      /* first: it is one */
  GSequence *order;    /* QuinceTimer *, the next one first */
  guint timers;        /* those not cleared, whether they run or not */
  guint64 started;     /* so many times a timer was started */
  QuinceTimer *called; /* in a dispatch: the one being called; NULL: it was cleared meanwhile */
} TimerQueue;

struct _QuinceTimer
{
  /* All fields belong to the thread that created the timer. */
  TimerQueue *queue;
  GSequenceIter *place; /* NULL: it does not run */
  gint64 due_us;        /* of the clock of the main loop */
  guint64 number;       /* of its start: among timers of one time the first started is the first called */
  guint interval_ms;
  GSourceFunc function;
  gpointer user_data;
};

static GPrivate thread_timer_queue;

static int
compare_timers (gconstpointer left, gconstpointer right, gpointer unused)
{
  const QuinceTimer *a = left;
  const QuinceTimer *b = right;
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us ? -1 : 1;
  return a->number < b->number ? -1 : a->number > b->number;
}

static void
start_timer (QuinceTimer *timer, gint64 now_us)
{
  timer->due_us = now_us + (gint64)timer->interval_ms * 1000;
  timer->number = timer->queue->started++;
  timer->place = g_sequence_insert_sorted (timer->queue->order, timer, compare_timers, NULL);
}

static void
stop_timer (QuinceTimer *timer)
{
  if (timer->place != NULL)
    g_sequence_remove (timer->place);
  timer->place = NULL;
}

/* Returns: (transfer none) (nullable): the timer that is called next */
static QuinceTimer *
peek_first_timer (TimerQueue *queue)
{
  GSequenceIter *first = g_sequence_get_begin_iter (queue->order);
  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

/* ---- The source -------------------------------------------------------- */

static gboolean
queue_check (GSource *source)
{
  const QuinceTimer *first = peek_first_timer ((TimerQueue *)source);
  return first != NULL && first->due_us <= g_source_get_time (source);
}

static gboolean
queue_prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  const QuinceTimer *first = peek_first_timer ((TimerQueue *)source);
  if (first == NULL)
    return FALSE;
  gint64 wait_us = MAX (first->due_us - g_source_get_time (source), 0);
  *timeout_ms = (gint)MIN ((wait_us + 999) / 1000, G_MAXINT);
  return wait_us == 0;
}

static void
call_timer (TimerQueue *queue, QuinceTimer *timer, gint64 now_us)
{
  stop_timer (timer);
  queue->called = timer;
  gboolean again = timer->function (timer->user_data);
  if (queue->called == timer && again)
    start_timer (timer, now_us);
  queue->called = NULL;
}

/* Timers started meanwhile wait for the next turn, so that other sources have theirs. */
static gboolean
queue_dispatch (GSource *source, GSourceFunc function, gpointer data)
{
  TimerQueue *queue = (TimerQueue *)source;
  gint64 now_us = g_source_get_time (source);
  guint64 started = queue->started;
  for (QuinceTimer *timer = peek_first_timer (queue);
       timer != NULL && timer->due_us <= now_us && timer->number < started; timer = peek_first_timer (queue))
    call_timer (queue, timer, now_us);
  return G_SOURCE_CONTINUE;
}

static void
queue_finalize (GSource *source)
{
  g_sequence_free (((TimerQueue *)source)->order);
}

static GSourceFuncs queue_functions = { .prepare = queue_prepare,
                                        .check = queue_check,
                                        .dispatch = queue_dispatch,
                                        .finalize = queue_finalize };

static TimerQueue *
queue_ref (void)
{
  TimerQueue *queue = g_private_get (&thread_timer_queue);
  if (queue == NULL)
    {
      GSource *source = g_source_new (&queue_functions, sizeof (TimerQueue));
      queue = (TimerQueue *)source;
      queue->order = g_sequence_new (NULL);
      g_source_attach (source, g_main_context_get_thread_default ());
      g_private_set (&thread_timer_queue, queue);
    }
  queue->timers++;
  return queue;
}

static void
queue_unref (TimerQueue *queue)
{
  if (--queue->timers > 0)
    return;
  g_private_set (&thread_timer_queue, NULL);
  g_source_destroy (&queue->source);
  g_source_unref (&queue->source);
}

/* ---- Timers ------------------------------------------------------------ */

QuinceTimer *
quince_timer_add (guint interval_ms, GSourceFunc function, gpointer user_data)
{
  QuinceTimer *timer = g_new0 (QuinceTimer, 1);
  timer->queue = queue_ref ();
  timer->interval_ms = interval_ms;
  timer->function = function;
  timer->user_data = user_data;
  start_timer (timer, g_get_monotonic_time ());
  return timer;
}

void
quince_timer_clear (QuinceTimer **timer)
{
  QuinceTimer *ended = *timer;
  if (ended == NULL)
    return;
  *timer = NULL;
  stop_timer (ended);
  if (ended->queue->called == ended)
    ended->queue->called = NULL;
  queue_unref (ended->queue);
  g_free (ended);
}
