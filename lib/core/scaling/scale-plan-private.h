/*
 * scale-plan-private.h: the state of one service, shared by the two files of the plan.
 *
 * scale-loss.c counts the workers of each zone, the lost and the missing ones; scale-plan.c orders and gives
 * back. The calls go one way, from scale-plan.c to scale-loss.c.  All times are monotonic, us.
 */
#pragma once

#include "core/scaling/scale-plan.h"

/* Time beyond a worker's start until it is listed, us: its first heartbeat and the next read of the list (0.6
 * s). Not measured. */
#define QUINCE_SCALE_LISTING_DELAY_US (2 * G_USEC_PER_SEC)
/* Pause after a refused order, us, doubled with each further refusal.  Not measured: a start takes seconds,
 * so an earlier attempt would gain little. */
#define QUINCE_SCALE_BACKOFF_MIN_US (2 * G_USEC_PER_SEC)

/* One zone of a service. */
typedef struct
{
  char *name;
  gboolean evacuated;
  guint serving; /* workers now, without spot workers */
  guint initial; /* the same when the plan learned the service, before any was lost */
  guint added; /* of serving: beyond the initial ones, in place of lost workers, ordered here or elsewhere */
  guint spot;  /* spot workers now */
  guint initial_spot; /* the same when the plan learned the service */

  /* Orders of this process since it leads. */
  guint desired;              /* count of the last order; 0: none */
  gint64 listing_deadline_us; /* workers that were ordered are listed by then, or don't come */
  gint64 next_order_us;       /* no order before, after a refusal */
  gint64 backoff_us;          /* pause after the next refusal */
  gboolean needs_retry;       /* the last order may not have been accepted */
} QuinceScaleZone;

/* One service. */
typedef struct
{
  GPtrArray *zones;    /* QuinceScaleZone, owned */
  gboolean learned;    /* the initial workers are known */
  gint64 changed_us;   /* when the count of a zone last changed */
  guint needed;        /* most workers that open work needed lately */
  gint64 needed_us;    /* when it was noted */
  gint64 last_lost_us; /* when workers were last lost; 0: never */
  guint recent_lost; /* most workers lost at once lately; at most this many arrivals count as replacements */
  gint64 loss_wait_start_us; /* start of the wait for lost workers to come back; 0: none are lost */
  guint lost_min;            /* fewest lost at any moment since lost_us */
  guint permanently_lost;    /* result of the last full wait: workers that will not come back */
  gint64 shortage_since_us;  /* since when workers are missing; 0: none are */
  gint64 surplus_since_us;   /* since when there are too many; 0: there are not */
  gint64 next_order_us;      /* no order before, for any zone */
} QuinceScaleService;

QuinceScaleService *quince_scale_service_new (void);
void quince_scale_service_free (QuinceScaleService *service);
/* Returns: (transfer none) (nullable) */
QuinceScaleZone *quince_scale_find_zone (const QuinceScaleService *service, const char *name);
/* Workers that serve, spot workers included: in a zone, in all zones, and in all zones initially. */
guint quince_scale_count_serving_in_zone (const QuinceScaleZone *zone);
guint quince_scale_count_serving (const QuinceScaleService *service);
guint quince_scale_count_initial (const QuinceScaleService *service);
/* Initial workers that don't serve now; 0 while the initial ones aren't known. */
guint quince_scale_count_lost (const QuinceScaleService *service);
/* Workers that were ordered and are still to be listed: in a zone, and in all zones. */
guint quince_scale_count_pending_in_zone (const QuinceScaleZone *zone, gint64 now_us);
guint quince_scale_count_pending (const QuinceScaleService *service, gint64 now_us);
/* Takes the list of workers; to be called at each step, before the functions below.
 * @zones: (element-type QuinceZoneWorkers); @needed: as in quince_scale_plan_step() */
void quince_scale_update (QuinceScaleService *service,
                          const QuinceScaling *scaling,
                          const GArray *zones,
                          guint needed,
                          gint64 now_us);
/* Workers that are lost for long enough and that there is work for; to be called at each step. */
guint quince_scale_count_missing (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us);
/* Whether @missing workers have been needed for so long that one that is ordered now is expected to be of
 * use; to be called at each step. */
gboolean quince_scale_shortage_persists (QuinceScaleService *service,
                                         const QuinceService *configured,
                                         guint missing,
                                         gint64 now_us);
