/*
 * retry-timer.h: calls a function once after a pause; a new pause replaces the one before.
 *
 * For: the next attempt of a lookup or stream, the next poll of a weight load.  Owns: one timer of the
 * context that sets it.
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
/* Calls due() after @wait_ms, never before this returns. */
void quince_retry_timer_set (QuinceRetryTimer *timer, guint wait_ms);
/* due() is not called any more; to be called before the owner is freed. */
void quince_retry_timer_clear (QuinceRetryTimer *timer);

G_END_DECLS
