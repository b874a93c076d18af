/*
 * delivery-meter.h: estimates the bytes on a link that its peer has not received yet, and the time that an
 * answer takes, from the peer's answers to probes.
 *
 * TCP acknowledgements cover only the next hop.  A proxy or relay may acknowledge bytes that it has not
 * delivered, so that a link may have seconds of data in flight while the kernel reports none.  A peer answers
 * probes in order; an answer shows that all bytes up to the end of the probe were delivered.
 *
 * Each link has one QuinceDeliveryMeter.  The functions do no I/O and read no clock; times are in
 * microseconds of a monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Maximum number of unanswered probes whose positions are stored: four seconds of heartbeats.  The answer to
 * a probe whose position was overwritten does not count any bytes as delivered. */
#define QUINCE_DELIVERY_PROBES_MAX 16

/* The delivery of an answer and of all else that was queued up to the first probe after it. */
typedef struct
{
  gsize bytes;
  gint64 duration_us; /* from queueing the answer to the peer's answer to that probe */
} QuinceDelivery;

/* State of one link; initialize it to zero. */
typedef struct
{
  struct
  {
    guint64 bytes; /* queued on the link up to the end of this probe */
    gint64 sent_us;
  } probes[QUINCE_DELIVERY_PROBES_MAX]; /* ring buffer, indexed by probe number */
  guint64 n_sent;                       /* probes sent */
  guint64 n_answered;                   /* probes answered */
  guint64 delivered_bytes;              /* up to the last answered probe with a stored position */
  gint64 last_late_answer_us;           /* time of the last late answer; 0 if none */
  struct
  {
    gint64 start_us;     /* 0: no delivery is measured */
    guint64 start_bytes; /* queued on the link before the answer */
    guint64 end_bytes;   /* queued up to the end of the first probe after it */
    guint64 end_probe;   /* number of that probe, from 1; 0: not sent yet */
  } measured;
} QuinceDeliveryMeter;

/* Records that a probe, a message that the peer answers, was queued.
 * @bytes: bytes queued on the link so far, including the probe */
void quince_delivery_meter_record_probe (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes);
/**
 * quince_delivery_meter_record_answer:
 * @delivery: (out): the delivery whose measurement this answer completes; unchanged if it completes none
 *
 * Records the answer to the oldest unanswered probe; ignored if there is none.
 *
 * Returns: whether @delivery was set
 */
gboolean
quince_delivery_meter_record_answer (QuinceDeliveryMeter *meter, gint64 now_us, QuinceDelivery *delivery);
/* Starts to measure the delivery of an answer that is about to be queued; ignored while the delivery of an
 * earlier one is measured.
 * @bytes: bytes queued on the link so far */
void quince_delivery_meter_start_delivery (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes);

/* Returns whether the delivery of an answer is measured and no probe was sent after the answer. */
gboolean quince_delivery_meter_awaits_probe (const QuinceDeliveryMeter *meter);

/**
 * quince_delivery_meter_get_backlog:
 * @bytes: bytes queued on the link so far
 *
 * Returns: the bytes that may not be delivered yet; 0 if no probe is overdue and no recent answer was late,
 * or if the peer has never answered a probe
 */
gsize quince_delivery_meter_get_backlog (const QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes);

G_END_DECLS
