/*
 * scale-plan-private.h: state shared by the files of the plan of workers.
 *
 * scale-loss.c: what stands in each zone, what is lost, and what is missing.
 * scale-plan.c: what is ordered and given back.
 */
#pragma once

#include "core/scaling/scale-plan.h"

/* Beyond the time of a start, until an ordered worker is listed: heartbeats and a look at the list. */
#define QUINCE_SCALE_LISTED_US (2 * G_USEC_PER_SEC)
/* Pause after a refusal, doubled with each in a row. */
#define QUINCE_SCALE_REFUSED_MIN_US (2 * G_USEC_PER_SEC)

typedef struct
{
  char *name;
  gboolean evacuated;
  guint serving;      /* workers now, but for those that may go; only this kind is ordered */
  guint stood;        /* such workers before any was lost */
  guint added;        /* of serving: above stood, in place of lost workers, whoever ordered them */
  guint may_go;       /* workers now that the platform may take away at any moment */
  guint may_go_stood; /* such workers before any was lost */

  /* What this process ordered since it leads. */
  guint desired;    /* last; 0: nothing was ordered */
  gint64 listed_us; /* what was ordered is listed by then, or does not come */
  gint64 not_before_us;
  gint64 refused_us; /* pause after the next refusal */
  gboolean repeat;   /* the last order may not have been taken */
} QuinceScaleZone;

typedef struct
{
  GPtrArray *zones; /* QuinceScaleZone, owned */
  gboolean learned; /* what stood there is known */
  gint64 changed_us;
  guint needed; /* the most of late */
  gint64 needed_us;
  gint64 seen_lost_us; /* when workers were last seen to be lost; 0: never */
  guint seen_lost;  /* most workers lost at once lately; at most this many arrivals count as replacements */
  gint64 lost_us;   /* start of the wait for lost workers to come back; 0: none are lost */
  guint lost_least; /* fewest lost at any moment since lost_us */
  guint lost_for_good; /* result of the last full wait: workers that will not come back */
  gint64 short_us;     /* since when workers are missing; 0: none is */
  gint64 spare_us;     /* since when there are too many; 0: there are not */
  gint64 not_before_us;
} QuinceScaleService;

void quince_scale_service_free (QuinceScaleService *service);
QuinceScaleService *quince_scale_service_new (void);
QuinceScaleZone *quince_scale_find_zone (const QuinceScaleService *service, const char *name);
/* Workers that serve: in a zone, in all, and in all before any was lost. */
guint quince_scale_count_zone (const QuinceScaleZone *zone);
guint quince_scale_count_serving (const QuinceScaleService *service);
guint quince_scale_count_stood (const QuinceScaleService *service);
guint quince_scale_count_lost (const QuinceScaleService *service);
/* Workers that were ordered and are still to be listed. */
guint quince_scale_on_the_way (const QuinceScaleZone *zone, gint64 now_us);
guint quince_scale_count_on_the_way (const QuinceScaleService *service, gint64 now_us);
/* Takes what is seen now. */
void quince_scale_check_losses (QuinceScaleService *service,
                                const QuinceScaling *scaling,
                                const GArray *zones,
                                guint needed,
                                gint64 now_us);
/* How many workers there is work for, of those that are lost for long enough; to be called at each look. */
guint quince_scale_count_missing (QuinceScaleService *service, const QuinceScaling *scaling, gint64 now_us);
/* Whether @missing has stood so long that a worker that is ordered now is expected to be of use; to be called
 * at each look. */
gboolean
quince_scale_will_last (QuinceScaleService *service, const QuinceService *told, guint missing, gint64 now_us);
