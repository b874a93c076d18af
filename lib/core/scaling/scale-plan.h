/*
 * scale-plan.h: how many workers of a service each zone is to have.
 *
 * Workers that a zone lost, or that an evacuation takes, are replaced in the zones that stay, and given back
 * once they are not needed.  What is planned is a count, not a difference: an order that is repeated changes
 * nothing.
 *
 * What stood in each zone before anything was lost is learned from what is listed, by leaders and others
 * alike, so that a new leader knows it from its own observation.  What is unknown makes a plan order less.
 *
 * Cheaper workers that may be taken away are counted and not ordered: they go just when others are lost.
 *
 * Pure: time is an argument, in microseconds of this process's monotonic clock.
 */
#pragma once

#include "core/routing/route-table.h"

G_BEGIN_DECLS

/* One zone of one service, as it is seen now. */
typedef struct
{
  const char *zone;
  guint serving;      /* listed, not leaving, not evacuated */
  guint may_go;       /* of these, workers that may be taken away at any moment */
  gboolean evacuated; /* nothing is sent to its workers */
} QuinceZoneStrength;

/* How many workers of the usual kind are to be in @zone. */
typedef struct
{
  char *zone;
  guint desired;
} QuinceScaleOrder;

typedef enum
{
  QUINCE_SCALE_TAKEN,
  QUINCE_SCALE_NONE_THERE, /* refused: none are to be had there now */
  QUINCE_SCALE_UNKNOWN,    /* no answer, or none that tells: it may have been taken */
} QuinceScaleOutcome;

typedef struct _QuinceScalePlan QuinceScalePlan;

QuinceScalePlan *quince_scale_plan_new (void);
void quince_scale_plan_free (QuinceScalePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceScalePlan, quince_scale_plan_free)
void quince_scale_order_clear (QuinceScaleOrder *order);

/* This process orders from now on.  What another one ordered may not be listed yet: nothing is ordered until
 * it must be. */
void quince_scale_plan_lead (QuinceScalePlan *plan, gint64 now_us);

/**
 * quince_scale_plan_step:
 * @zones: (element-type QuinceZoneStrength)
 * @needed: workers that the service's open work takes to end in time; 0: none, or not known
 * @order: (out) (nullable): %NULL: it is only looked; owned by the caller where %TRUE is returned
 *
 * Returns: whether there is an order to be given now; quince_scale_plan_order_ended() tells how it ended, and
 * no other one is asked for before
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
/* Of a worker's places, the part that open work of @work_us keeps taken if it is to end in time, @age_us
 * after it was asked for where @due_us are allowed; all of one where it is late, or where not all is known
 * (0). */
double quince_scale_slots_needed (gint64 work_us, gint64 age_us, gint64 due_us);
/* Workers of @service that stood there and do not serve now; 0 also where that is not known. */
guint quince_scale_plan_get_lost (const QuinceScalePlan *plan, const char *service);

G_END_DECLS
