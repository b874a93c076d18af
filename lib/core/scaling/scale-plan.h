/*
 * scale-plan.h: decides how many workers of a service each zone should have.
 *
 * Workers that are lost, or whose zone is evacuated, are replaced in the cheapest zone below its limit.  The
 * replacements are released when they are no longer needed.  An order gives the total number of on-demand
 * workers of a zone, so that it can be retried safely.
 *
 * All replicas record the initial workers of each zone from the list of workers, so a new leader already
 * knows them.  If a count is unknown, the plan orders fewer workers.
 *
 * Spot workers are counted but never ordered, since the platform may reclaim them just when other workers
 * are lost.
 *
 * The plan does no I/O.  All times are microseconds of one monotonic clock.
 */
#pragma once

#include "core/routing/route-table.h"

G_BEGIN_DECLS

/* Listed workers of one service in one zone. */
typedef struct
{
  const char *zone;
  guint serving;      /* neither draining nor evacuated; includes spot workers */
  guint spot;         /* of serving: spot workers */
  gboolean evacuated; /* an operator has evacuated the zone */
} QuinceZoneWorkers;

/* Number of on-demand workers that @zone should have. */
typedef struct
{
  char *zone; /* owned */
  guint desired;
} QuinceScaleOrder;

typedef enum
{
  QUINCE_SCALE_ACCEPTED,    /* accepted: the platform starts or stops the workers */
  QUINCE_SCALE_NO_CAPACITY, /* refused: the zone has no capacity now */
  QUINCE_SCALE_UNKNOWN,     /* no clear answer: the order may have been accepted */
} QuinceScaleOutcome;

typedef struct _QuinceScalePlan QuinceScalePlan;

QuinceScalePlan *quince_scale_plan_new (void);
void quince_scale_plan_free (QuinceScalePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceScalePlan, quince_scale_plan_free)
/* Frees the fields of @order. */
void quince_scale_order_clear (QuinceScaleOrder *order);

/* Starts a term of this process as leader.  The plan issues no order for the boot time of a worker plus
 * QUINCE_SCALE_LISTING_DELAY_US, since workers that the previous leader ordered may not be listed yet. */
void quince_scale_plan_start_leading (QuinceScalePlan *plan, gint64 now_us);

/**
 * quince_scale_plan_step:
 * @service: its scaling must be set
 * @zones: (element-type QuinceZoneWorkers)
 * @needed: number of workers that the open samples of the service need to meet their deadlines; 0: none or
 * unknown
 * @order: (out) (nullable): order to send; with %NULL only the counts are updated
 *
 * Updates the counts and decides on the next order.  The caller sends the order, passes %NULL as @order until
 * it has the answer, and reports the answer with quince_scale_plan_order_ended().
 *
 * Returns: %TRUE if @order was set; the caller must clear it
 */
gboolean quince_scale_plan_step (QuinceScalePlan *plan,
                                 gint64 now_us,
                                 const QuinceService *service,
                                 const GArray *zones,
                                 guint needed,
                                 QuinceScaleOrder *order);
/* Records the outcome of the @order of @service that quince_scale_plan_step() returned. */
void quince_scale_plan_order_ended (QuinceScalePlan *plan,
                                    gint64 now_us,
                                    const char *service,
                                    const QuinceScaleOrder *order,
                                    QuinceScaleOutcome outcome);
/**
 * quince_scale_slots_needed:
 * @work_us: remaining work, us; 0: unknown
 * @age_us: time since the submission, us
 * @allowed_us: time from the submission to the deadline, us; 0: unknown
 *
 * Returns: the share of a worker's slot that completes the work in time, more than 0 and at most 1; 1 if the
 * work is late or a value is unknown
 */
double quince_scale_slots_needed (gint64 work_us, gint64 age_us, gint64 allowed_us);
/* Returns how many fewer workers of @service serve than initially, or 0 if the initial number is unknown. */
guint quince_scale_plan_get_lost (const QuinceScalePlan *plan, const char *service);

G_END_DECLS
