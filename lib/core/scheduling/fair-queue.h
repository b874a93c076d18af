/*
 * fair-queue.h: requests that wait for an engine of one service.
 *
 * Greater priority levels are served first.  Within a level members take
 * turns by deficit round robin (Shreedhar, Varghese 1995), weighted by their
 * policy share; within a member the earliest deadline goes first.
 */
#pragma once

#include "attempt-key.h"
#include "heap.h"

typedef struct _QuinceFairQueue QuinceFairQueue;
typedef struct _QuinceFlow QuinceFlow;

/* A request that waits.  Owned by the scheduler; @turn and @flow by the queue. */
typedef struct
{
  QuinceAttemptKey key;
  QuinceGrantRequest *request; /* own copy */
  guint64 client;
  gint64 deadline_us;
  gint priority;
  guint64 min_version;
  double share;
  guint cost;            /* what it takes from its member's deficit */
  gpointer service;      /* QuinceServiceQueue, owned by the scheduler */
  QuinceHeapNode expiry; /* in the scheduler's heap of deadlines */
  QuinceHeapNode turn;
  QuinceFlow *flow;
} QuinceWaiting;

QuinceFairQueue *quince_fair_queue_new (void);
/* The waiting requests stay the caller's. */
void quince_fair_queue_free (QuinceFairQueue *queue);

/* @sequence: breaks ties between equal deadlines, first come first */
void quince_fair_queue_push (QuinceFairQueue *queue, QuinceWaiting *waiting, guint64 sequence);
void quince_fair_queue_remove (QuinceFairQueue *queue, QuinceWaiting *waiting);
/* Begins a round of service: no member is passed over yet. */
void quince_fair_queue_begin (QuinceFairQueue *queue);
/* (nullable) (transfer none): whose turn it is, among members not passed over */
QuinceWaiting *quince_fair_queue_next (QuinceFairQueue *queue);
/* The request cannot be served now; its member is passed over in this round. */
void quince_fair_queue_pass_over (QuinceFairQueue *queue, QuinceWaiting *waiting);
/* Serves @waiting: its cost is taken from its member, and it leaves the queue. */
void quince_fair_queue_take (QuinceFairQueue *queue, QuinceWaiting *waiting);

guint quince_fair_queue_length (const QuinceFairQueue *queue);
guint quince_fair_queue_member_length (const QuinceFairQueue *queue, const char *member);
/* Requests that are likely served before a new one of @member at @priority. */
guint quince_fair_queue_ahead (const QuinceFairQueue *queue, gint priority, const char *member);
