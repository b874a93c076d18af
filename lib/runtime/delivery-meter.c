/*
 * delivery-meter.c: bytes that a peer has not taken yet, by its answers.
 */
#include "runtime/delivery-meter.h"

/* A probe that is not answered for so long waits behind other bytes, us: ten round trips between regions
 * (24 ms).  A healthy link answers sooner. */
#define LATE_US (250 * 1000)
/* For so long after a late answer a link counts as slow, us, and all that was sent since the last answered
 * probe as on its way: callers that read results over it come back within this time. */
#define SLOW_US (2000 * 1000)

void
quince_delivery_meter_record_probe (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  guint place = meter->sent % QUINCE_DELIVERY_PROBES_MAX;
  meter->probes[place].bytes = bytes;
  meter->probes[place].sent_us = now_us;
  meter->sent++;
}

/* The oldest probe without an answer is so old that its place was taken by a later one. */
static gboolean
is_oldest_probe_overwritten (const QuinceDeliveryMeter *meter)
{
  return meter->sent - meter->answered > QUINCE_DELIVERY_PROBES_MAX;
}

void
quince_delivery_meter_record_answer (QuinceDeliveryMeter *meter, gint64 now_us)
{
  if (meter->answered == meter->sent)
    return; /* of a peer that answers what it was not asked */
  guint place = meter->answered % QUINCE_DELIVERY_PROBES_MAX;
  if (!is_oldest_probe_overwritten (meter))
    meter->delivered = meter->probes[place].bytes;
  if (is_oldest_probe_overwritten (meter) || now_us - meter->probes[place].sent_us > LATE_US)
    meter->late_us = now_us;
  meter->answered++;
}

gsize
quince_delivery_meter_get_backlog (const QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  if (meter->answered == 0)
    return 0;
  gboolean waits = meter->answered < meter->sent;
  gint64 sent_us = meter->probes[meter->answered % QUINCE_DELIVERY_PROBES_MAX].sent_us;
  gboolean late = waits && (is_oldest_probe_overwritten (meter) || now_us - sent_us > LATE_US);
  gboolean slow = meter->late_us > 0 && now_us - meter->late_us <= SLOW_US;
  return late || slow ? (gsize)(bytes - meter->delivered) : 0;
}
