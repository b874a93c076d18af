/*
 * scale-plan.h: how many workers of a service each zone should have: orders in place of lost workers.
 *
 * Workers that a zone lost, or that an evacuation takes away, are replaced in the other zones, and given back
 * once they are no longer needed.  An order is a count, not a difference, so that repeating it changes
 * nothing.
 *
 * The initial workers of each zone are learned from the list of workers by leaders and other replicas alike,
 * so a new leader knows them from its own observation.  Where something isn't known the plan orders less.
 *
 * Spot workers are counted but never ordered, since the platform takes them away just when others are lost.
 *
 * Owns the counts and orders of each service.  Pure: time is an argument, us of a monotonic clock.
 */
#pragma once

#include "core/routing/route-table.h"

G_BEGIN_DECLS

/* The workers of one service in one zone, as listed now. */
typedef struct
{
  const char *zone;
  guint serving;      /* listed, neither draining nor evacuated; with spot workers */
  guint spot;         /* of serving: spot workers */
  gboolean evacuated; /* by an operator */
} QuinceZoneWorkers;

/* How many workers, without spot workers, @zone should have. */
typedef struct
{
  char *zone; /* owned */
  guint desired;
} QuinceScaleOrder;

typedef enum
{
  QUINCE_SCALE_ACCEPTED,    /* accepted: the workers start */
  QUINCE_SCALE_NO_CAPACITY, /* refused: the zone has no capacity now */
  QUINCE_SCALE_UNKNOWN,     /* no answer, or an unclear one: it may have been accepted */
} QuinceScaleOutcome;

typedef struct _QuinceScalePlan QuinceScalePlan;

QuinceScalePlan *quince_scale_plan_new (void);
void quince_scale_plan_free (QuinceScalePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceScalePlan, quince_scale_plan_free)
/* Releases the fields of @order. */
void quince_scale_order_clear (QuinceScaleOrder *order);

/* This process orders from now on.  Workers that a former leader ordered may not be listed yet, so nothing is
 * ordered for the time in which they must be (the time of a start and QUINCE_SCALE_LISTING_DELAY_US). */
void quince_scale_plan_lead (QuinceScalePlan *plan, gint64 now_us);

/**
 * quince_scale_plan_step:
 * @service: with its bounds, prices and time of a start; its scaling is set
 * @zones: (element-type QuinceZoneWorkers)
 * @needed: workers that the service's open work needs to end in time; 0: none, or not known
 * @order: (out) (nullable): %NULL: only updates the counts; to be cleared by the caller where %TRUE is
 * returned
 *
 * Returns: whether @order is to be given now.  The caller says by quince_scale_plan_order_ended() how it
 * ended, and passes %NULL until then
 */
gboolean quince_scale_plan_step (QuinceScalePlan *plan,
                                 gint64 now_us,
                                 const QuinceService *service,
                                 const GArray *zones,
                                 guint needed,
                                 QuinceScaleOrder *order);
void quince_scale_plan_order_ended (QuinceScalePlan *plan,
                                    gint64 now_us,
                                    const char *service,
                                    const QuinceScaleOrder *order,
                                    QuinceScaleOutcome outcome);
/**
 * quince_scale_slots_needed:
 * @work_us: work that is left; 0: not known
 * @age_us: time since it was submitted
 * @due_us: time from its submission in which it is due; 0: not known
 *
 * Returns: the share of one worker's slot, 0 to 1, that ends the work in time; 1 where it is late or where
 * something isn't known
 */
double quince_scale_slots_needed (gint64 work_us, gint64 age_us, gint64 allowed_us);
/* Returns: how many initial workers of @service don't serve now; 0 also while those aren't known */
guint quince_scale_plan_get_lost (const QuinceScalePlan *plan, const char *service);

G_END_DECLS
