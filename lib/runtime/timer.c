/*
 * timer.c: one main loop source for the timers of a thread; see timer.h.
 */
#include "runtime/timer.h"

/* Source of one thread; freed with its last timer. */
typedef struct
{
  GSource source;              /* base type; must be first */
  GSequence *scheduled_timers; /* QuinceTimer *, not owned, earliest due time first */
  guint n_timers;              /* allocated timers, scheduled or stopped */
  guint64 n_started;           /* number of timer starts so far */
  QuinceTimer *running_timer;  /* timer whose function is running; NULL if it was cleared */
} TimerQueue;

struct _QuinceTimer
{
  TimerQueue *queue;
  GSequenceIter *position; /* NULL if the timer is not scheduled */
  gint64 due_us;           /* time of CLOCK_MONOTONIC */
  guint64 start_number;    /* orders timers with equal due times by their start */
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
  return a->start_number < b->start_number ? -1 : a->start_number > b->start_number;
}

static void
start_timer (QuinceTimer *timer, gint64 now_us)
{
  timer->due_us = now_us + (gint64)timer->interval_ms * 1000;
  timer->start_number = timer->queue->n_started++;
  timer->position = g_sequence_insert_sorted (timer->queue->scheduled_timers, timer, compare_timers, NULL);
}

static void
stop_timer (QuinceTimer *timer)
{
  if (timer->position != NULL)
    g_sequence_remove (timer->position);
  timer->position = NULL;
}

/* Returns: (transfer none) (nullable): the timer that is due first */
static QuinceTimer *
peek_first_timer (TimerQueue *queue)
{
  GSequenceIter *first = g_sequence_get_begin_iter (queue->scheduled_timers);
  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

/* ---- Main loop source -------------------------------------------------- */

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
  queue->running_timer = timer;
  gboolean call_again = timer->function (timer->user_data);
  if (queue->running_timer == timer && call_again)
    start_timer (timer, now_us);
  queue->running_timer = NULL;
}

/* Timers that a callback starts are called in the next iteration, so that other sources are not starved. */
static gboolean
queue_dispatch (GSource *source, GSourceFunc function, gpointer data)
{
  TimerQueue *queue = (TimerQueue *)source;
  gint64 now_us = g_source_get_time (source);
  guint64 n_started = queue->n_started;
  for (QuinceTimer *timer = peek_first_timer (queue);
       timer != NULL && timer->due_us <= now_us && timer->start_number < n_started;
       timer = peek_first_timer (queue))
    call_timer (queue, timer, now_us);
  return G_SOURCE_CONTINUE;
}

static void
queue_finalize (GSource *source)
{
  g_sequence_free (((TimerQueue *)source)->scheduled_timers);
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
      queue->scheduled_timers = g_sequence_new (NULL);
      g_source_attach (source, g_main_context_get_thread_default ());
      g_private_set (&thread_timer_queue, queue);
    }
  queue->n_timers++;
  return queue;
}

static void
queue_unref (TimerQueue *queue)
{
  if (--queue->n_timers > 0)
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
  QuinceTimer *cleared = *timer;
  if (cleared == NULL)
    return;
  *timer = NULL;
  stop_timer (cleared);
  if (cleared->queue->running_timer == cleared)
    cleared->queue->running_timer = NULL;
  queue_unref (cleared->queue);
  g_free (cleared);
}
