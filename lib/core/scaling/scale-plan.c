/*
 * scale-plan.c: orders replacements for lost workers and releases them when they are no longer needed.
 */
#include "scale-plan-private.h"

/* Minimum time between two orders for one service, us. */
#define ORDER_INTERVAL_MIN_US (500 * 1000)
/* Maximum back-off of a zone, us: QUINCE_SCALE_BACKOFF_MIN_US doubled three times. */
#define BACKOFF_MAX_US (16 * G_USEC_PER_SEC)
/* Time for which there must be a surplus before workers are released, us.  Prevents a flapping zone from
 * ordering and releasing workers over and over. */
#define SURPLUS_HOLD_US (8 * G_USEC_PER_SEC)
/* Minimum time between two releases, us.  Workers that have just returned are still cold. */
#define RELEASE_INTERVAL_US (2 * G_USEC_PER_SEC)
/* Each release returns one part in RELEASE_DIVISOR of the replacements that remain in a zone, at least one
 * worker. */
#define RELEASE_DIVISOR 4

struct _QuinceScalePlan
{
  GHashTable *services;   /* QuinceScaleService by name, both owned */
  gint64 leader_since_us; /* when this process became the leader */
};

/* A zone and the price of its workers relative to the usual price. */
typedef struct
{
  QuinceScaleZone *zone;
  double price;
} PricedZone;

static void
service_free (gpointer data)
{
  quince_scale_service_free (data);
}

QuinceScalePlan *
quince_scale_plan_new (void)
{
  QuinceScalePlan *plan = g_new0 (QuinceScalePlan, 1);
  plan->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  return plan;
}

void
quince_scale_plan_free (QuinceScalePlan *plan)
{
  if (plan == NULL)
    return;
  g_hash_table_unref (plan->services);
  g_free (plan);
}

void
quince_scale_order_clear (QuinceScaleOrder *order)
{
  g_clear_pointer (&order->zone, g_free);
}

static QuinceScaleService *
find_service (QuinceScalePlan *plan, const char *name)
{
  QuinceScaleService *service = g_hash_table_lookup (plan->services, name);
  if (service != NULL)
    return service;
  service = quince_scale_service_new ();
  g_hash_table_insert (plan->services, g_strdup (name), service);
  return service;
}

/* ---- Orders ------------------------------------------------------------- */

static double
get_zone_price (const QuinceScaling *scaling, const char *zone)
{
  for (guint i = 0; i < scaling->prices->len; i++)
    {
      const QuinceZonePrice *price = &g_array_index (scaling->prices, QuinceZonePrice, i);
      if (g_str_equal (price->zone, zone))
        return price->price;
    }
  return 1;
}

static gint
compare_prices (gconstpointer a, gconstpointer b)
{
  const PricedZone *first = a;
  const PricedZone *second = b;
  if (first->price != second->price)
    return first->price < second->price ? -1 : 1;
  return g_strcmp0 (first->zone->name, second->zone->name);
}

/* Returns all zones, cheapest first: (transfer full) (element-type PricedZone). */
static GArray *
list_zones_by_price (const QuinceScaleService *service, const QuinceScaling *scaling)
{
  GArray *priced_zones = g_array_new (FALSE, FALSE, sizeof (PricedZone));
  for (guint i = 0; i < service->zones->len; i++)
    {
      QuinceScaleZone *zone = service->zones->pdata[i];
      PricedZone priced_zone = { zone, get_zone_price (scaling, zone->name) };
      g_array_append_val (priced_zones, priced_zone);
    }
  g_array_sort (priced_zones, compare_prices);
  return priced_zones;
}

/* Returns how many more workers @zone may have.  Its limit includes spot workers and pending workers. */
static guint
get_zone_headroom (const QuinceScaleZone *zone, const QuinceScaling *scaling, gint64 now_us)
{
  guint count = quince_scale_count_serving_in_zone (zone) + quince_scale_count_pending_in_zone (zone, now_us);
  return scaling->max_workers > count ? scaling->max_workers - count : 0;
}

static void
issue_order (QuinceScaleService *service,
             QuinceScaleZone *zone,
             guint desired,
             gint64 now_us,
             QuinceScaleOrder *order)
{
  zone->desired = desired;
  zone->needs_retry = FALSE;
  service->next_order_us = now_us + ORDER_INTERVAL_MIN_US;
  order->zone = g_strdup (zone->name);
  order->desired = desired;
}

/* Retries an order that may not have been accepted.  The count stays the same, since a different order could
 * add to the first one.  An order that is no longer needed is not retried; workers that it started are
 * released later. */
static gboolean
retry_order (QuinceScaleService *service,
             const QuinceScaling *scaling,
             const GArray *priced_zones,
             guint missing,
             gint64 now_us,
             QuinceScaleOrder *order)
{
  for (guint i = 0; i < priced_zones->len; i++)
    {
      QuinceScaleZone *zone = g_array_index (priced_zones, PricedZone, i).zone;
      gboolean adds_workers = zone->desired > zone->serving;
      zone->needs_retry = zone->needs_retry && adds_workers == (missing > 0) && !zone->evacuated;
      if (!zone->needs_retry || now_us < zone->next_order_us)
        continue;
      if (adds_workers)
        zone->listing_deadline_us = now_us + (gint64)scaling->boot_ms * 1000 + QUINCE_SCALE_LISTING_DELAY_US;
      issue_order (service, zone, zone->desired, now_us, order);
      return TRUE;
    }
  return FALSE;
}

/* Orders up to @missing workers in @zone, within its limit. */
static gboolean
order_in_zone (QuinceScaleService *service,
               const QuinceScaling *scaling,
               QuinceScaleZone *zone,
               guint missing,
               gint64 now_us,
               QuinceScaleOrder *order)
{
  guint n_new_workers = MIN (missing, get_zone_headroom (zone, scaling, now_us));
  if (zone->evacuated || n_new_workers == 0 || now_us < zone->next_order_us)
    return FALSE;
  guint count = zone->serving + quince_scale_count_pending_in_zone (zone, now_us);
  zone->listing_deadline_us = now_us + (gint64)scaling->boot_ms * 1000 + QUINCE_SCALE_LISTING_DELAY_US;
  issue_order (service, zone, count + n_new_workers, now_us, order);
  return TRUE;
}

/* Orders workers in the cheapest zone below its limit.  Zones without any worker come last, since they may be
 * down. */
static gboolean
order_missing (QuinceScaleService *service,
               const QuinceScaling *scaling,
               const GArray *priced_zones,
               guint missing,
               gint64 now_us,
               QuinceScaleOrder *order)
{
  guint pending = quince_scale_count_pending (service, now_us);
  if (missing <= pending)
    return FALSE;
  for (guint empty_zones = 0; empty_zones < 2; empty_zones++)
    for (guint i = 0; i < priced_zones->len; i++)
      {
        QuinceScaleZone *zone = g_array_index (priced_zones, PricedZone, i).zone;
        if ((quince_scale_count_serving_in_zone (zone) == 0) == (empty_zones == 1)
            && order_in_zone (service, scaling, zone, missing - pending, now_us, order))
          return TRUE;
      }
  return FALSE;
}

/* ---- Releases ----------------------------------------------------------- */

/* Returns the number of workers beyond the initial ones, or 0 while workers are pending or the surplus is
 * younger than SURPLUS_HOLD_US. */
static guint
count_surplus (QuinceScaleService *service, gint64 now_us)
{
  guint serving = quince_scale_count_serving (service);
  guint initial = quince_scale_count_initial (service);
  gboolean has_surplus
      = service->learned && serving > initial && quince_scale_count_pending (service, now_us) == 0;
  if (!has_surplus)
    service->surplus_since_us = 0;
  else if (service->surplus_since_us == 0)
    service->surplus_since_us = now_us;
  return has_surplus && now_us - service->surplus_since_us >= SURPLUS_HOLD_US ? serving - initial : 0;
}

/* Releases workers in the most expensive zone that has replacements.  Never releases other workers or goes
 * below the lower limit of the zone. */
static gboolean
release_workers (QuinceScaleService *service,
                 const QuinceScaling *scaling,
                 const GArray *priced_zones,
                 guint surplus,
                 gint64 now_us,
                 QuinceScaleOrder *order)
{
  for (guint i = priced_zones->len; i > 0 && surplus > 0; i--)
    {
      QuinceScaleZone *zone = g_array_index (priced_zones, PricedZone, i - 1).zone;
      guint count = quince_scale_count_serving_in_zone (zone);
      guint above_min = count > scaling->min_workers ? count - scaling->min_workers : 0;
      guint n_released = MIN (MIN (zone->added, zone->serving), MIN (surplus, above_min));
      if (n_released == 0 || now_us < zone->next_order_us)
        continue;
      n_released = MIN (n_released, MAX (zone->added / RELEASE_DIVISOR, 1));
      zone->listing_deadline_us = 0;
      issue_order (service, zone, zone->serving - n_released, now_us, order);
      service->next_order_us = now_us + RELEASE_INTERVAL_US;
      return TRUE;
    }
  return FALSE;
}

/* ---- Steps -------------------------------------------------------------- */

static void
reset_orders (QuinceScaleZone *zone)
{
  zone->desired = 0;
  zone->listing_deadline_us = 0;
  zone->next_order_us = 0;
  zone->backoff_us = QUINCE_SCALE_BACKOFF_MIN_US;
  zone->needs_retry = FALSE;
}

void
quince_scale_plan_start_leading (QuinceScalePlan *plan, gint64 now_us)
{
  plan->leader_since_us = now_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, plan->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceScaleService *service = value;
      service->shortage_since_us = 0;
      service->surplus_since_us = 0;
      for (guint i = 0; i < service->zones->len; i++)
        reset_orders (service->zones->pdata[i]);
    }
}

gboolean
quince_scale_plan_step (QuinceScalePlan *plan,
                        gint64 now_us,
                        const QuinceService *configured,
                        const GArray *zones,
                        guint needed,
                        QuinceScaleOrder *order)
{
  const QuinceScaling *scaling = configured->scaling;
  QuinceScaleService *service = find_service (plan, configured->name);
  quince_scale_update (service, scaling, zones, needed, now_us);
  guint missing = quince_scale_count_missing (service, scaling, now_us);
  gboolean shortage_persists = quince_scale_shortage_persists (service, configured, missing, now_us);
  guint surplus = count_surplus (service, now_us);
  gint64 predecessor_orders_listed_us
      = plan->leader_since_us + (gint64)scaling->boot_ms * 1000 + QUINCE_SCALE_LISTING_DELAY_US;
  if (order == NULL || now_us < service->next_order_us || now_us < predecessor_orders_listed_us)
    return FALSE;
  g_autoptr (GArray) priced_zones = list_zones_by_price (service, scaling);
  return retry_order (service, scaling, priced_zones, missing, now_us, order)
         || (shortage_persists && order_missing (service, scaling, priced_zones, missing, now_us, order))
         || release_workers (service, scaling, priced_zones, surplus, now_us, order);
}

static void
back_off_zone (QuinceScaleZone *zone, gint64 now_us)
{
  zone->next_order_us = now_us + zone->backoff_us;
  zone->backoff_us = MIN (2 * zone->backoff_us, BACKOFF_MAX_US);
}

void
quince_scale_plan_order_ended (QuinceScalePlan *plan,
                               gint64 now_us,
                               const char *name,
                               const QuinceScaleOrder *order,
                               QuinceScaleOutcome outcome)
{
  const QuinceScaleService *service = g_hash_table_lookup (plan->services, name);
  QuinceScaleZone *zone = service != NULL ? quince_scale_find_zone (service, order->zone) : NULL;
  if (zone == NULL)
    return;
  if (outcome == QUINCE_SCALE_ACCEPTED)
    {
      zone->backoff_us = QUINCE_SCALE_BACKOFF_MIN_US;
      return;
    }
  back_off_zone (zone, now_us);
  if (outcome == QUINCE_SCALE_NO_CAPACITY)
    zone->listing_deadline_us = 0;
  else
    zone->needs_retry = TRUE;
}

guint
quince_scale_plan_get_lost (const QuinceScalePlan *plan, const char *name)
{
  const QuinceScaleService *service = g_hash_table_lookup (plan->services, name);
  return service != NULL ? quince_scale_count_lost (service) : 0;
}
