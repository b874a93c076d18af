/*
 * delivery-meter.h: how many bytes on a link its peer has not taken yet, as the peer's answers tell.
 *
 * The kernel tells what the next machine has not acknowledged.  A proxy or relay on the way acknowledges what
 * it has not delivered, so that seconds of data may be on their way on a link that the kernel calls idle.
 * Messages are answered in order: what was sent before an answered one was delivered.
 *
 * Keeps one QuinceDeliveryMeter for each link.  Pure: time is an argument, in microseconds of one clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Unanswered probes whose place in the stream is kept: heartbeats of four seconds.  Of a peer that answers
 * later still all bytes count as not delivered. */
#define QUINCE_DELIVERY_PROBES_MAX 16

/* Of one link; all zero at first. */
typedef struct
{
  struct
  {
    guint64 bytes; /* sent on the link up to this probe's end */
    gint64 sent_us;
  } probes[QUINCE_DELIVERY_PROBES_MAX]; /* by number, modulo their count */
  guint64 n_sent;                       /* probes so far */
  guint64 n_answered;                   /* of these */
  guint64 delivered_bytes;              /* bytes before the last answered probe's end */
  gint64 last_late_answer_us;           /* when a late answer came last; 0: never */
} QuinceDeliveryMeter;

/* A message that the peer answers was queued. @bytes: queued on the link so far, this one included */
void quince_delivery_meter_record_probe (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes);
/* The peer answered the oldest probe that it had not answered. */
void quince_delivery_meter_record_answer (QuinceDeliveryMeter *meter, gint64 now_us);

/**
 * quince_delivery_meter_get_backlog:
 * @bytes: queued on the link so far
 *
 * Returns: bytes that may still be on their way; 0: the peer answers in time and has done so for a while, or
 * it has never answered
 */
gsize quince_delivery_meter_get_backlog (const QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes);

G_END_DECLS
