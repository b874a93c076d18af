/*
 * scale-plan-private.h: state of one service, shared by scale-plan.c and scale-loss.c.
 *
 * scale-loss.c counts workers; scale-plan.c orders and releases them and calls scale-loss.c, never the
 * reverse.  All times are monotonic, us.
 */
#pragma once

#include "core/scaling/scale-plan.h"

/* Maximum time from the end of a worker's boot until it is listed, us: its first heartbeat and the next read
 * of the list. */
#define QUINCE_SCALE_LISTING_DELAY_US (2 * G_USEC_PER_SEC)
/* Back-off of a zone after the first order that was refused or got no clear answer, us.  Each further failure
 * doubles it. */
#define QUINCE_SCALE_BACKOFF_MIN_US (2 * G_USEC_PER_SEC)

/* Workers and orders of one zone of a service. */
typedef struct
{
  char *name;
  gboolean evacuated;
  guint serving;      /* on-demand workers that serve now */
  guint initial;      /* on-demand workers when the initial workers were recorded */
  guint added;        /* of serving: replacements of lost workers, whichever leader ordered them */
  guint spot;         /* spot workers that serve now */
  guint initial_spot; /* spot workers when the initial workers were recorded */

  /* Orders since this process became the leader. */
  guint desired;              /* number of on-demand workers in the last order; 0: none */
  gint64 listing_deadline_us; /* ordered workers that are not listed by then are no longer expected */
  gint64 next_order_us;       /* end of the back-off */
  gint64 backoff_us;          /* duration of the next back-off */
  gboolean needs_retry;       /* the last order may not have been accepted */
} QuinceScaleZone;

/* Workers and orders of one service. */
typedef struct
{
  GPtrArray *zones;          /* QuinceScaleZone, owned */
  gboolean learned;          /* the initial workers have been recorded */
  gint64 changed_us;         /* when the count of a zone last changed */
  guint needed;              /* workers that the open samples need; a decrease takes effect with a delay */
  gint64 needed_us;          /* when needed was last set or reached again */
  gint64 last_lost_us;       /* when workers were last seen to be lost; 0: never */
  guint recent_lost;         /* highest recent number of lost workers; limits the number of replacements */
  gint64 loss_wait_start_us; /* start of the wait for lost workers to return; 0: none are lost */
  guint lost_min;            /* smallest number of lost workers since loss_wait_start_us */
  guint permanently_lost;    /* workers that did not return during the last full wait */
  gint64 shortage_since_us;  /* start of the shortage of workers; 0: there is none */
  gint64 surplus_since_us;   /* start of the surplus of workers; 0: there is none */
  gint64 next_order_us;      /* earliest time of the next order, for any zone */
} QuinceScaleService;

QuinceScaleService *quince_scale_service_new (void);
void quince_scale_service_free (QuinceScaleService *service);
/* Returns the zone called @name, owned by @service, or NULL if it is unknown. */
QuinceScaleZone *quince_scale_find_zone (const QuinceScaleService *service, const char *name);
/* Count the workers that serve, including spot workers: in a zone now, in all zones now, in all zones
 * initially. */
guint quince_scale_count_serving_in_zone (const QuinceScaleZone *zone);
guint quince_scale_count_serving (const QuinceScaleService *service);
guint quince_scale_count_initial (const QuinceScaleService *service);
/* Returns how many fewer workers serve than initially, or 0 if the initial workers have not been recorded
 * yet. */
guint quince_scale_count_lost (const QuinceScaleService *service);
/* Count the workers that were ordered but are not listed yet: in a zone, in all zones. */
guint quince_scale_count_pending_in_zone (const QuinceScaleZone *zone, gint64 now_us);
guint quince_scale_count_pending (const QuinceScaleService *service, gint64 now_us);
/* Updates the counts from the list of workers.  Each step calls it before the functions below.
 * @zones: (element-type QuinceZoneWorkers)
 * @needed: as in quince_scale_plan_step() */
void quince_scale_update (QuinceScaleService *service,
                          const QuinceScaling *scaling,
                          const GArray *zones,
                          guint needed,
                          gint64 now_us);
/* Returns how many lost workers to replace: evacuated workers and workers that are unlikely to return,
 * limited to the number that the open samples need.  Each step must call it. */
guint quince_scale_count_missing (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us);
/* Returns TRUE if workers have been missing for so long that a worker ordered now is expected to be needed
 * when it can serve.  Each step must call it. */
gboolean quince_scale_shortage_persists (QuinceScaleService *service,
                                         const QuinceService *configured,
                                         guint missing,
                                         gint64 now_us);
