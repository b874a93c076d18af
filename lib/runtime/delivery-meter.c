/*
 * delivery-meter.c: estimates the undelivered bytes on a link and the duration of deliveries from the answers
 * to probes.
 */
#include "runtime/delivery-meter.h"

/* An answer that takes longer is late: the probe is queued behind other bytes.  Ten round trips of 24 ms
 * between regions. */
#define PROBE_TIMEOUT_US (250 * 1000)
/* Time after a late answer during which the link counts as slow.  Longer than the interval at which callers
 * read results. */
#define SLOW_LINK_US (2000 * 1000)

void
quince_delivery_meter_record_probe (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  guint index = meter->n_sent % QUINCE_DELIVERY_PROBES_MAX;
  meter->probes[index].bytes = bytes;
  meter->probes[index].sent_us = now_us;
  meter->n_sent++;
  if (meter->measured.start_us > 0 && meter->measured.end_probe == 0)
    {
      meter->measured.end_probe = meter->n_sent;
      meter->measured.end_bytes = bytes;
    }
}

void
quince_delivery_meter_start_delivery (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  if (meter->measured.start_us > 0)
    return;
  meter->measured.start_us = now_us;
  meter->measured.start_bytes = bytes;
  meter->measured.end_probe = 0;
}

gboolean
quince_delivery_meter_awaits_probe (const QuinceDeliveryMeter *meter)
{
  return meter->measured.start_us > 0 && meter->measured.end_probe == 0;
}

/* Ends the measurement if the first probe after the measured answer is answered. */
static gboolean
complete_delivery (QuinceDeliveryMeter *meter, gint64 now_us, QuinceDelivery *delivery)
{
  if (meter->measured.start_us == 0 || meter->measured.end_probe == 0
      || meter->n_answered < meter->measured.end_probe)
    return FALSE;
  delivery->bytes = (gsize)(meter->measured.end_bytes - meter->measured.start_bytes);
  delivery->duration_us = now_us - meter->measured.start_us;
  meter->measured.start_us = 0;
  return TRUE;
}

/* Returns whether a later probe has overwritten the position of the oldest unanswered probe. */
static gboolean
is_oldest_probe_overwritten (const QuinceDeliveryMeter *meter)
{
  return meter->n_sent - meter->n_answered > QUINCE_DELIVERY_PROBES_MAX;
}

gboolean
quince_delivery_meter_record_answer (QuinceDeliveryMeter *meter, gint64 now_us, QuinceDelivery *delivery)
{
  if (meter->n_answered == meter->n_sent)
    return FALSE; /* the peer violates the protocol */
  guint index = meter->n_answered % QUINCE_DELIVERY_PROBES_MAX;
  if (!is_oldest_probe_overwritten (meter))
    meter->delivered_bytes = meter->probes[index].bytes;
  if (is_oldest_probe_overwritten (meter) || now_us - meter->probes[index].sent_us > PROBE_TIMEOUT_US)
    meter->last_late_answer_us = now_us;
  meter->n_answered++;
  return complete_delivery (meter, now_us, delivery);
}

gsize
quince_delivery_meter_get_backlog (const QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  if (meter->n_answered == 0)
    return 0;
  gboolean has_unanswered = meter->n_answered < meter->n_sent;
  gint64 sent_us = meter->probes[meter->n_answered % QUINCE_DELIVERY_PROBES_MAX].sent_us;
  gboolean is_late
      = has_unanswered && (is_oldest_probe_overwritten (meter) || now_us - sent_us > PROBE_TIMEOUT_US);
  gboolean is_slow = meter->last_late_answer_us > 0 && now_us - meter->last_late_answer_us <= SLOW_LINK_US;
  return is_late || is_slow ? (gsize)(bytes - meter->delivered_bytes) : 0;
}
