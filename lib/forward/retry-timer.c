/*
 * retry-timer.c: calls a function once after a pause.
 */
#include "forward/retry-timer.h"

void
quince_retry_timer_init (QuinceRetryTimer *timer, void (*due) (gpointer user_data), gpointer user_data)
{
  *timer = (QuinceRetryTimer){ .due = due, .user_data = user_data };
}

static gboolean
timer_over (gpointer data)
{
  QuinceRetryTimer *timer = data;
  quince_timer_clear (&timer->timer);
  timer->due (timer->user_data); /* may free the owner */
  return G_SOURCE_REMOVE;
}

void
quince_retry_timer_set (QuinceRetryTimer *timer, guint wait_ms)
{
  quince_timer_clear (&timer->timer);
  timer->timer = quince_timer_add (wait_ms, timer_over, timer);
}

void
quince_retry_timer_clear (QuinceRetryTimer *timer)
{
  quince_timer_clear (&timer->timer);
}
