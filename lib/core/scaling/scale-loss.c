/*
 * scale-loss.c: counts the serving, lost and missing workers of a service.
 */
#include "scale-plan-private.h"

/* The initial workers are recorded once no zone's count has changed for this time, us.  The workers of a new
 * deployment are listed over about a second. */
#define INITIAL_COUNT_SETTLE_US (2 * G_USEC_PER_SEC)
/* Minimum time after which workers that disappeared without an evacuation are replaced, us.  A worker that
 * crashed, or whose entry expired during an outage of the store, usually returns earlier. */
#define LOSS_CONFIRM_MIN_US (3 * G_USEC_PER_SEC)
/* Delay before a decrease of the needed workers takes effect, us.  Training steps arrive a few seconds apart.
 */
#define NEED_DECREASE_DELAY_US (5 * G_USEC_PER_SEC)
/* A sample is planned to end within this fraction of the time allowed for it.  The longest samples of a step
 * take as long as all the others together. */
#define DEADLINE_SHARE 0.5
/* A shortage must last for this fraction of the boot and cold start time before workers are ordered.  A
 * shortage of a few seconds is over before a worker that boots for a minute can serve. */
#define SHORTAGE_MIN_SHARE 0.25

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
  zone->backoff_us = QUINCE_SCALE_BACKOFF_MIN_US;
  g_ptr_array_add (service->zones, zone);
  return zone;
}

guint
quince_scale_count_serving_in_zone (const QuinceScaleZone *zone)
{
  return zone->serving + zone->spot;
}

static guint
count_initial_in_zone (const QuinceScaleZone *zone)
{
  return zone->initial + zone->initial_spot;
}

guint
quince_scale_count_serving (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += quince_scale_count_serving_in_zone (service->zones->pdata[i]);
  return count;
}

guint
quince_scale_count_initial (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += count_initial_in_zone (service->zones->pdata[i]);
  return count;
}

static const QuinceZoneWorkers *
find_zone_workers (const GArray *zones, const char *name)
{
  for (guint i = 0; i < zones->len; i++)
    {
      const QuinceZoneWorkers *workers = &g_array_index (zones, QuinceZoneWorkers, i);
      if (g_str_equal (workers->zone, name))
        return workers;
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

/* Workers beyond the initial ones that arrive while others are lost count as replacements, whichever leader
 * ordered them, up to the number of lost workers.  Replacements are released when they are no longer needed.
 * Other arrivals are kept, for instance the workers of a zone that was down when this process started. */
static void
count_arrivals (const QuinceScaleService *service, QuinceScaleZone *zone, guint serving, gboolean may_replace)
{
  guint previous_extra = zone->serving > zone->initial ? zone->serving - zone->initial : 0;
  guint extra = serving > zone->initial ? serving - zone->initial : 0;
  guint added = count_added (service);
  guint max_replacements = service->recent_lost > added ? service->recent_lost - added : 0;
  if (may_replace && extra > previous_extra)
    zone->added += MIN (extra - previous_extra, max_replacements);
  /* Replacements are the first to be subtracted, so that none of them is released twice. */
  if (extra < previous_extra)
    zone->added -= MIN (zone->added, previous_extra - extra);
  zone->serving = serving;
}

static void
update_zone (QuinceScaleService *service,
             QuinceScaleZone *zone,
             const QuinceZoneWorkers *listed,
             gboolean may_replace,
             gint64 now_us)
{
  guint previous_count = quince_scale_count_serving_in_zone (zone);
  guint serving = listed != NULL ? listed->serving : 0;
  zone->spot = listed != NULL ? MIN (listed->spot, serving) : 0;
  count_arrivals (service, zone, serving - zone->spot, may_replace);
  if (listed != NULL)
    zone->evacuated = listed->evacuated;
  if (quince_scale_count_serving_in_zone (zone) != previous_count)
    service->changed_us = now_us;
}

/* Returns TRUE if a worker that arrives now may have been ordered to replace a lost one. */
static gboolean
arrivals_may_replace (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us)
{
  guint lost = quince_scale_count_lost (service);
  if (lost > 0)
    service->last_lost_us = now_us;
  service->recent_lost = MAX (service->recent_lost, lost);
  gint64 replacement_window_us = (gint64)scaling->boot_ms * 1000 + QUINCE_SCALE_LISTING_DELAY_US;
  gboolean recently = service->last_lost_us != 0 && now_us - service->last_lost_us <= replacement_window_us;
  if (!recently)
    service->recent_lost = 0;
  return recently;
}

static void
update_zones (QuinceScaleService *service, const QuinceScaling *scaling, const GArray *zones, gint64 now_us)
{
  gboolean may_replace = arrivals_may_replace (service, scaling, now_us);
  for (guint i = 0; i < zones->len; i++)
    {
      const char *name = g_array_index (zones, QuinceZoneWorkers, i).zone;
      if (quince_scale_find_zone (service, name) == NULL)
        add_zone (service, name);
    }
  for (guint i = 0; i < service->zones->len; i++)
    {
      QuinceScaleZone *zone = service->zones->pdata[i];
      update_zone (service, zone, find_zone_workers (zones, zone->name), may_replace, now_us);
    }
}

static void
learn_initial_workers (QuinceScaleService *service, gint64 now_us)
{
  if (service->learned || quince_scale_count_serving (service) == 0
      || now_us - service->changed_us < INITIAL_COUNT_SETTLE_US)
    return;
  for (guint i = 0; i < service->zones->len; i++)
    if (((const QuinceScaleZone *)service->zones->pdata[i])->evacuated)
      return; /* its workers are not counted as serving */
  for (guint i = 0; i < service->zones->len; i++)
    {
      QuinceScaleZone *zone = service->zones->pdata[i];
      zone->initial = zone->serving;
      zone->initial_spot = zone->spot;
    }
  service->learned = TRUE;
}

static void
record_needed (QuinceScaleService *service, guint needed, gint64 now_us)
{
  if (needed < service->needed && now_us - service->needed_us < NEED_DECREASE_DELAY_US)
    return;
  service->needed = needed;
  service->needed_us = now_us;
}

/* ---- Missing workers ---------------------------------------------------- */

guint
quince_scale_count_lost (const QuinceScaleService *service)
{
  guint initial = quince_scale_count_initial (service);
  guint serving = quince_scale_count_serving (service);
  return service->learned && initial > serving ? initial - serving : 0;
}

/* Counts the initial workers of evacuated zones.  They are replaced without a wait. */
static guint
count_evacuated (const QuinceScaleService *service)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    {
      const QuinceScaleZone *zone = service->zones->pdata[i];
      count += zone->evacuated ? count_initial_in_zone (zone) : 0;
    }
  return count;
}

guint
quince_scale_count_pending_in_zone (const QuinceScaleZone *zone, gint64 now_us)
{
  gboolean pending = zone->desired > zone->serving && now_us < zone->listing_deadline_us;
  return pending ? zone->desired - zone->serving : 0;
}

guint
quince_scale_count_pending (const QuinceScaleService *service, gint64 now_us)
{
  guint count = 0;
  for (guint i = 0; i < service->zones->len; i++)
    count += quince_scale_count_pending_in_zone (service->zones->pdata[i], now_us);
  return count;
}

/* Returns how many of the @absent workers, which disappeared without an evacuation, are not expected to
 * return: the smallest number that was absent at any time during the last full wait of @wait_us. */
static guint
count_permanently_lost (QuinceScaleService *service, guint absent, gint64 wait_us, gint64 now_us)
{
  service->permanently_lost = MIN (service->permanently_lost, absent);
  if (service->loss_wait_start_us == 0 || absent == 0)
    {
      service->loss_wait_start_us = absent > 0 ? now_us : 0;
      service->lost_min = absent;
      return service->permanently_lost;
    }
  service->lost_min = MIN (service->lost_min, absent);
  if (now_us - service->loss_wait_start_us < wait_us)
    return service->permanently_lost;
  service->permanently_lost = service->lost_min;
  service->loss_wait_start_us = now_us;
  service->lost_min = absent;
  return service->permanently_lost;
}

guint
quince_scale_count_missing (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us)
{
  guint lost = quince_scale_count_lost (service);
  guint evacuated = MIN (count_evacuated (service), lost);
  gint64 wait_us = MAX ((gint64)scaling->boot_ms * 1000, LOSS_CONFIRM_MIN_US);
  lost = evacuated + count_permanently_lost (service, lost - evacuated, wait_us, now_us);
  guint serving = quince_scale_count_serving (service);
  guint shortage = service->needed > serving ? service->needed - serving : 0;
  return MIN (lost, shortage);
}

gboolean
quince_scale_shortage_persists (QuinceScaleService *service,
                                const QuinceService *configured,
                                guint missing,
                                gint64 now_us)
{
  if (missing == 0)
    {
      service->shortage_since_us = 0;
      return FALSE;
    }
  if (service->shortage_since_us == 0)
    service->shortage_since_us = now_us;
  gint64 warm_us = ((gint64)configured->scaling->boot_ms + configured->cold_start_ms) * 1000;
  return now_us - service->shortage_since_us >= (gint64)(SHORTAGE_MIN_SHARE * (double)warm_us);
}

void
quince_scale_update (QuinceScaleService *service,
                     const QuinceScaling *scaling,
                     const GArray *zones,
                     guint needed,
                     gint64 now_us)
{
  update_zones (service, scaling, zones, now_us);
  learn_initial_workers (service, now_us);
  record_needed (service, needed, now_us);
}

double
quince_scale_slots_needed (gint64 work_us, gint64 age_us, gint64 allowed_us)
{
  double remaining_us = DEADLINE_SHARE * (double)allowed_us - (double)age_us;
  if (work_us <= 0 || allowed_us <= 0 || remaining_us <= (double)work_us)
    return 1;
  return (double)work_us / remaining_us;
}
