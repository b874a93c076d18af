/*
 * service-strength.h: how many workers of a service are ready, of how many, and whether it bears the end of
 * one more.
 *
 * A request under which workers ended may end the next one too.  It is sent only while its service keeps half
 * of its workers, and one at least, if that happens.
 *
 * Pure: time is an argument, in microseconds of one clock that counts suspensions too.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceServiceStrength:
 * @ready: workers that are listed and are not known to have ended
 * @most: the most that were listed of late
 * @at_risk: of those that are ready, may be ended by requests that were sent a moment ago
 * @calm_us: since the last end at the service
 */
typedef struct
{
  guint ready;
  guint most;
  guint at_risk;
  gint64 calm_us;
} QuinceServiceStrength;

/* Whether one more worker may end. */
gboolean quince_service_strength_bears_end (const QuinceServiceStrength *strength);

/* Whether a request of which nothing is known may run at two workers at once.  It may where no worker ended
 * of late, or where both may end. */
gboolean quince_service_strength_bears_hedge (const QuinceServiceStrength *strength);

/* What was seen of all services. */
typedef struct _QuinceServiceStrengths QuinceServiceStrengths;

QuinceServiceStrengths *quince_service_strengths_new (void);
void quince_service_strengths_free (QuinceServiceStrengths *strengths);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceServiceStrengths, quince_service_strengths_free)
/* @listed workers of @service are listed now, and @ready of them are not known to have ended. */
void quince_service_strengths_note (QuinceServiceStrengths *strengths,
                                    gint64 now_us,
                                    const char *service,
                                    guint listed,
                                    guint ready);
/* A worker of @service ended. */
void
quince_service_strengths_note_end (QuinceServiceStrengths *strengths, gint64 now_us, const char *service);
/* What was noted last; @strength->at_risk is the caller's. */
void quince_service_strengths_get (const QuinceServiceStrengths *strengths,
                                   gint64 now_us,
                                   const char *service,
                                   QuinceServiceStrength *strength);
/* How much longer it takes until @service is whole again, as far as its last recovery tells. */
gint64 quince_service_strengths_get_wait_us (const QuinceServiceStrengths *strengths,
                                             gint64 now_us,
                                             const char *service);

G_END_DECLS
