/*
 * retry-timer.h: a one-shot timer that can be restarted, for the next attempt of a lookup or stream and the
 * next poll of a weight load.
 *
 * It owns one timer of the thread-default context in which it is set.
 */
#pragma once

#include "runtime/timer.h"

G_BEGIN_DECLS

typedef struct
{
  /* All fields belong to the context of the owner. */
  QuinceTimer *timer; /* NULL: not set */
  void (*callback) (gpointer user_data);
  gpointer user_data;
} QuinceRetryTimer;

void
quince_retry_timer_init (QuinceRetryTimer *timer, void (*callback) (gpointer user_data), gpointer user_data);
/* Calls callback() after @wait_ms, but never before this function returns.  Replaces an earlier setting. */
void quince_retry_timer_set (QuinceRetryTimer *timer, guint wait_ms);
/* Stops the timer.  Must be called before the owner is freed. */
void quince_retry_timer_clear (QuinceRetryTimer *timer);

G_END_DECLS
