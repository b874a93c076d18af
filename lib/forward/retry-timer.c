/*
 * retry-timer.c: a one-shot timer that can be restarted.
 */
#include "forward/retry-timer.h"

void
quince_retry_timer_init (QuinceRetryTimer *timer, void (*callback) (gpointer user_data), gpointer user_data)
{
  *timer = (QuinceRetryTimer){ .callback = callback, .user_data = user_data };
}

static gboolean
handle_timeout (gpointer data)
{
  QuinceRetryTimer *timer = data;
  quince_timer_clear (&timer->timer);
  timer->callback (timer->user_data); /* may free the owner */
  return G_SOURCE_REMOVE;
}

void
quince_retry_timer_set (QuinceRetryTimer *timer, guint wait_ms)
{
  quince_timer_clear (&timer->timer);
  timer->timer = quince_timer_add (wait_ms, handle_timeout, timer);
}

void
quince_retry_timer_clear (QuinceRetryTimer *timer)
{
  quince_timer_clear (&timer->timer);
}
