/*
 * delivery-meter.c: bytes that a peer has not taken yet, by its answers.
 */
#include "runtime/delivery-meter.h"

/* A probe that is not answered for so long waits behind other bytes, us: ten round trips between regions
 * (24 ms).  A healthy link answers sooner. */
#define LATE_US (250 * 1000)

void
quince_delivery_meter_probe (QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  guint place = meter->sent % QUINCE_DELIVERY_PROBES_MAX;
  meter->probes[place].bytes = bytes;
  meter->probes[place].sent_us = now_us;
  meter->sent++;
}

/* The oldest probe without an answer is so old that its place was taken by a later one. */
static gboolean
is_forgotten (const QuinceDeliveryMeter *meter)
{
  return meter->sent - meter->answered > QUINCE_DELIVERY_PROBES_MAX;
}

void
quince_delivery_meter_take_answer (QuinceDeliveryMeter *meter)
{
  if (meter->answered == meter->sent)
    return; /* of a peer that answers what it was not asked */
  if (!is_forgotten (meter))
    meter->delivered = meter->probes[meter->answered % QUINCE_DELIVERY_PROBES_MAX].bytes;
  meter->answered++;
}

gsize
quince_delivery_meter_get_backlog (const QuinceDeliveryMeter *meter, gint64 now_us, guint64 bytes)
{
  if (meter->answered == 0 || meter->answered == meter->sent)
    return 0;
  gint64 sent_us = meter->probes[meter->answered % QUINCE_DELIVERY_PROBES_MAX].sent_us;
  if (!is_forgotten (meter) && now_us - sent_us <= LATE_US)
    return 0;
  return (gsize)(bytes - meter->delivered);
}
