/*
 * scale-loss.c: which workers of a service are lost, and how many of them there is work for.
 */
#include "scale-plan-private.h"

/* What stands there is learned once no zone's count has changed for so long: workers are listed over about a
 * second when a deployment starts. */
#define SETTLE_US (2 * G_USEC_PER_SEC)
/* Workers that are gone without a word are replaced no sooner: one that crashed, or whose entry lapsed while
 * the store was away, is back in less.  Where a start takes longer, so long a loss is waited for instead. */
#define LOSS_MIN_US (3 * G_USEC_PER_SEC)
/* Steps come some seconds apart: the most work of so long counts. */
#define NEED_KEEP_US (5 * G_USEC_PER_SEC)
/* Work is to be done within this part of the time in which it is due: the longest texts of a step take as
 * long as the rest once they have begun. */
#define DUE_SHARE 0.5
/* A need that has stood for this part of the time until a new worker is warm is expected to outlast it. */
#define NEED_SHARE 0.25

static void
zone_free (gpointer data)
{
  QuinceScaleZone *zone = data;
  g_free (zone->name);
  g_free (zone);
}

QuinceScaleService *
quince_scale_service_new (void)
{
  QuinceScaleService *service = g_new0 (QuinceScaleService, 1);
  service->zones = g_ptr_array_new_with_free_func (zone_free);
  return service;
}

void
quince_scale_service_free (QuinceScaleService *service)
{
  g_ptr_array_unref (service->zones);
  g_free (service);
}

QuinceScaleZone *
quince_scale_find_zone (const QuinceScaleService *service, const char *name)
{
  for (guint i = 0; i < service->zones->len; i++)
    if (g_str_equal (((QuinceScaleZone *)service->zones->pdata[i])->name, name))
      return service->zones->pdata[i];
  return NULL;
}

static QuinceScaleZone *
add_zone (QuinceScaleService *service, const char *name)
{
  QuinceScaleZone *zone = g_new0 (QuinceScaleZone, 1);
  zone->name = g_strdup (name);
  zone->refused_us = QUINCE_SCALE_REFUSED_MIN_US;
  g_ptr_array_add (service->zones, zone);
  return zone;
}

guint
quince_scale_count_zone (const QuinceScaleZone *zone)
{
  return zone->serving + zone->may_go;
}

static guint
count_zone_stood (const QuinceScaleZone *zone)
{
  return zone->stood + zone->may_go_stood;
}

guint
quince_scale_count_serving (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += quince_scale_count_zone (service->zones->pdata[i]);
  return count;
}

guint
quince_scale_count_stood (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += count_zone_stood (service->zones->pdata[i]);
  return count;
}

static const QuinceZoneStrength *
find_capacity (const GArray *zones, const char *name)
{
  for (guint i = 0; i < zones->len; i++)
    {
      const QuinceZoneStrength *capacity = &g_array_index (zones, QuinceZoneStrength, i);
      if (g_str_equal (capacity->zone, name))
        return capacity;
    }
  return NULL;
}

static guint
count_added (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += ((const QuinceScaleZone *)service->zones->pdata[i])->added;
  return count;
}

/* Workers beyond those that stood there, and that come where some are lost, are in place of those, as many as
 * were lost: whoever ordered them, they are given back when they are not needed any more.  Others are left
 * alone: a zone that was gone when this process began comes back whole, and stays. */
static void
check_added (const QuinceScaleService *service, QuinceScaleZone *zone, guint serving, gboolean replaces)
{
  guint before = zone->serving > zone->stood ? zone->serving - zone->stood : 0;
  guint beyond = serving > zone->stood ? serving - zone->stood : 0;
  guint added = count_added (service);
  guint may_be = service->seen_lost > added ? service->seen_lost - added : 0;
  if (replaces && beyond > before)
    zone->added += MIN (beyond - before, may_be);
  /* What is given back, or goes, is of the added ones first: it is not given back twice. */
  if (beyond < before)
    zone->added -= MIN (zone->added, before - beyond);
  zone->serving = serving;
}

static void
check_zone (QuinceScaleService *service,
            QuinceScaleZone *zone,
            const QuinceZoneStrength *seen,
            gboolean replaces,
            gint64 now_us)
{
  guint before = quince_scale_count_zone (zone);
  guint serving = seen != NULL ? seen->serving : 0;
  zone->may_go = seen != NULL ? MIN (seen->may_go, serving) : 0;
  check_added (service, zone, serving - zone->may_go, replaces);
  if (seen != NULL)
    zone->evacuated = seen->evacuated;
  if (quince_scale_count_zone (zone) != before)
    service->changed_us = now_us;
}

/* Whether a worker that comes now may have been ordered in place of a lost one. */
static gboolean
may_replace (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us)
{
  guint lost = quince_scale_count_lost (service);
  if (lost > 0)
    service->seen_lost_us = now_us;
  service->seen_lost = MAX (service->seen_lost, lost);
  gint64 keep_us = (gint64)scaling->boot_ms * 1000 + QUINCE_SCALE_LISTED_US;
  gboolean recently = service->seen_lost_us != 0 && now_us - service->seen_lost_us <= keep_us;
  if (!recently)
    service->seen_lost = 0;
  return recently;
}

static void
check_zones (QuinceScaleService *service, const QuinceScaling *scaling, const GArray *zones, gint64 now_us)
{
  gboolean replaces = may_replace (service, scaling, now_us);
  for (guint i = 0; i < zones->len; i++)
    {
      const char *name = g_array_index (zones, QuinceZoneStrength, i).zone;
      if (quince_scale_find_zone (service, name) == NULL)
        add_zone (service, name);
    }
  for (guint i = 0; i < service->zones->len; i++)
    {
      QuinceScaleZone *zone = service->zones->pdata[i];
      check_zone (service, zone, find_capacity (zones, zone->name), replaces, now_us);
    }
}

static void
learn (QuinceScaleService *service, gint64 now_us)
{
  if (service->learned || quince_scale_count_serving (service) == 0
      || now_us - service->changed_us < SETTLE_US)
    return;
  for (guint i = 0; i < service->zones->len; i++)
    if (((const QuinceScaleZone *)service->zones->pdata[i])->evacuated)
      return; /* how many stood there is not seen */
  for (guint i = 0; i < service->zones->len; i++)
    {
      QuinceScaleZone *zone = service->zones->pdata[i];
      zone->stood = zone->serving;
      zone->may_go_stood = zone->may_go;
    }
  service->learned = TRUE;
}

static void
note_needed (QuinceScaleService *service, guint needed, gint64 now_us)
{
  if (needed < service->needed && now_us - service->needed_us < NEED_KEEP_US)
    return;
  service->needed = needed;
  service->needed_us = now_us;
}

/* ---- What is missing ---------------------------------------------------- */

guint
quince_scale_count_lost (const QuinceScaleService *service)
{
  guint stood = quince_scale_count_stood (service);
  guint serving = quince_scale_count_serving (service);
  return service->learned && stood > serving ? stood - serving : 0;
}

/* The part of the lost ones that an evacuation takes, which is told. */
static guint
count_evacuated (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    {
      const QuinceScaleZone *zone = service->zones->pdata[i];
      count += zone->evacuated ? count_zone_stood (zone) : 0;
    }
  return count;
}

guint
quince_scale_on_the_way (const QuinceScaleZone *zone, gint64 now_us)
{
  gboolean comes = zone->desired > zone->serving && now_us < zone->listed_us;
  return comes ? zone->desired - zone->serving : 0;
}

guint
quince_scale_count_on_the_way (const QuinceScaleService *service, gint64 now_us)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += quince_scale_on_the_way (service->zones->pdata[i], now_us);
  return count;
}

/* Of @gone workers that went without a word, those that do not come back: the least that were gone at any
 * moment of the time in which they would. */
static guint
count_for_good (QuinceScaleService *service, guint gone, gint64 wait_us, gint64 now_us)
{
  service->lost_for_good = MIN (service->lost_for_good, gone);
  if (service->lost_us == 0 || gone == 0)
    {
      service->lost_us = gone > 0 ? now_us : 0;
      service->lost_least = gone;
      return service->lost_for_good;
    }
  service->lost_least = MIN (service->lost_least, gone);
  if (now_us - service->lost_us < wait_us)
    return service->lost_for_good;
  service->lost_for_good = service->lost_least;
  service->lost_us = now_us;
  service->lost_least = gone;
  return service->lost_for_good;
}

/* How many workers there is work for, of those that are lost for long enough. */
guint
quince_scale_count_missing (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us)
{
  guint lost = quince_scale_count_lost (service);
  guint told = MIN (count_evacuated (service), lost);
  gint64 wait_us = MAX ((gint64)scaling->boot_ms * 1000, LOSS_MIN_US);
  lost = told + count_for_good (service, lost - told, wait_us, now_us);
  guint serving = quince_scale_count_serving (service);
  guint busy = service->needed > serving ? service->needed - serving : 0;
  return MIN (lost, busy);
}

/* Whether @missing has stood so long that a worker that is ordered now is expected to be of use. */
gboolean
quince_scale_will_last (QuinceScaleService *service, const QuinceService *told, guint missing, gint64 now_us)
{
  if (missing == 0)
    {
      service->short_us = 0;
      return FALSE;
    }
  if (service->short_us == 0)
    service->short_us = now_us;
  gint64 warm_us = ((gint64)told->scaling->boot_ms + told->cold_start_ms) * 1000;
  return now_us - service->short_us >= (gint64)(NEED_SHARE * (double)warm_us);
}

void
quince_scale_check_losses (QuinceScaleService *service,
                           const QuinceScaling *scaling,
                           const GArray *zones,
                           guint needed,
                           gint64 now_us)
{
  check_zones (service, scaling, zones, now_us);
  learn (service, now_us);
  note_needed (service, needed, now_us);
}

double
quince_scale_slots_needed (gint64 work_us, gint64 age_us, gint64 due_us)
{
  double left_us = DUE_SHARE * (double)due_us - (double)age_us;
  if (work_us <= 0 || due_us <= 0 || left_us <= (double)work_us)
    return 1;
  return (double)work_us / left_us;
}
