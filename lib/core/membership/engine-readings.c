/*
 * engine-readings.c: see quince/engine-readings.h.
 *
 * load:     1 bit leaving, 11 running, 10 waiting, 10 capacity
 * versions: 12 bits weight version, 12 target version, 8 age
 */
#include <quince/engine-readings.h>

#include <string.h>

#include <quince/request-id.h>

#define RUNNING_MOST 0x7ffU
#define WAITING_MOST 0x3ffU
#define CAPACITY_MOST 0x3ffU
#define VERSION_MOST 0xfffU
#define AGE_MOST 0xffU
#define AGE_UNIT_US ((gint64)16 * G_TIME_SPAN_MILLISECOND)
#define LEAVING_SHIFT 31
#define RUNNING_SHIFT 20
#define WAITING_SHIFT 10
#define WEIGHT_SHIFT 20
#define TARGET_SHIFT 8
/* Clocks may drift apart by one part in so many. */
#define CLOCK_DRIFT_PARTS 2000

guint32
quince_engine_reading_key (const char *engine)
{
  return (guint32)quince_hash64 (engine, strlen (engine), 0);
}

guint64
quince_engine_reading_base (guint64 base, guint64 a, guint64 b)
{
  const guint64 versions[] = { a, b };
  for (guint i = 0; i < G_N_ELEMENTS (versions); i++)
    if (versions[i] != 0 && (base == 0 || versions[i] < base))
      base = versions[i];
  return base;
}

/* 0 stays 0; others count from 1. */
static gboolean
pack_version (guint64 version, guint64 base, guint32 *out)
{
  *out = 0;
  if (version == 0)
    return TRUE;
  if (version < base || version - base >= VERSION_MOST)
    return FALSE;
  *out = (guint32)(version - base) + 1;
  return TRUE;
}

static guint64
unpack_version (guint32 packed, guint64 base)
{
  return packed != 0 ? base + packed - 1 : 0;
}

gboolean
quince_engine_reading_pack (const char *engine,
                            const QuinceEngineFigures *figures,
                            guint64 base_version,
                            QuinceEngineReading *out)
{
  guint32 weight;
  guint32 target;
  gint64 age = (MAX (figures->age_us, 0) + AGE_UNIT_US - 1) / AGE_UNIT_US;
  if (figures->capacity > CAPACITY_MOST || age > AGE_MOST
      || !pack_version (figures->weight_version, base_version, &weight)
      || !pack_version (figures->target_version, base_version, &target))
    return FALSE;
  out->engine = quince_engine_reading_key (engine);
  out->load = (guint32)(figures->leaving ? 1 : 0) << LEAVING_SHIFT
              | MIN (figures->running, RUNNING_MOST) << RUNNING_SHIFT
              | MIN (figures->waiting, WAITING_MOST) << WAITING_SHIFT | figures->capacity;
  out->versions = weight << WEIGHT_SHIFT | target << TARGET_SHIFT | (guint32)age;
  return TRUE;
}

void
quince_engine_reading_unpack (const QuinceEngineReading *reading,
                              guint64 base_version,
                              QuinceEngineFigures *out)
{
  out->leaving = reading->load >> LEAVING_SHIFT != 0;
  out->running = reading->load >> RUNNING_SHIFT & RUNNING_MOST;
  out->waiting = reading->load >> WAITING_SHIFT & WAITING_MOST;
  out->capacity = reading->load & CAPACITY_MOST;
  out->weight_version = unpack_version (reading->versions >> WEIGHT_SHIFT, base_version);
  out->target_version = unpack_version (reading->versions >> TARGET_SHIFT & VERSION_MOST, base_version);
  out->age_us = (reading->versions & AGE_MOST) * AGE_UNIT_US;
}

gint64
quince_transit_clock_sent_at (QuinceTransitClock *clock, guint64 incarnation, guint64 sent_us, gint64 now_us)
{
  gint64 difference_us = now_us - (gint64)sent_us;
  if (clock->incarnation != incarnation)
    {
      clock->incarnation = incarnation;
      clock->least_us = difference_us;
    }
  else
    clock->least_us += (now_us - clock->aged_us) / CLOCK_DRIFT_PARTS;
  clock->aged_us = now_us;
  clock->least_us = MIN (clock->least_us, difference_us);
  return now_us - (difference_us - clock->least_us);
}
