/*
 * owed-pause.c: pauses between the sends of owed work under which workers ended.
 */
#include "core/request/quarantine.h"

/* Pause of owed work after the end that makes the quarantine hold its suspect, us: longer than the 0.3 s
 * between alone permits of a service, so that other suspects of the service are sent first. */
#define OWED_PAUSE_MIN_US (500 * 1000)
/* Longest pause of owed work, us.  The platform counts an item as lost that was at no worker for 5 s although
 * workers had room; the rest is for the permits of other suspects and the return of workers. */
#define OWED_PAUSE_MAX_US (3 * G_USEC_PER_SEC)

/* Counts the ends alone, since the number of workers also contains placeholders of the stored entry. */
gint64
quince_suspect_get_owed_pause_us (const QuinceSuspect *suspect)
{
  if (!suspect->held)
    return 0;
  gint64 pause_us = OWED_PAUSE_MIN_US;
  for (guint alone = QUINCE_QUARANTINE_HOLD_ALONE_ENDS_MIN;
       alone < suspect->alone && pause_us < OWED_PAUSE_MAX_US; alone++)
    pause_us = MIN (2 * pause_us, OWED_PAUSE_MAX_US);
  return pause_us;
}

static gint64
get_owed_wait_us (const QuinceSuspect *suspect, gint64 now_us)
{
  gint64 pause_us = suspect != NULL ? quince_suspect_get_owed_pause_us (suspect) : 0;
  return pause_us > 0 ? CLAMP (suspect->ended_us + pause_us - now_us, 0, pause_us) : 0;
}

gint64
quince_quarantine_get_owed_wait_us (const QuinceQuarantine *quarantine,
                                    gint64 now_us,
                                    const QuinceRequestIdentity *identity)
{
  const QuinceSuspect *request = quince_quarantine_find (quarantine, &identity->request);
  const QuinceSuspect *prompt
      = identity->has_prompt ? quince_quarantine_find (quarantine, &identity->prompt) : NULL;
  return MAX (get_owed_wait_us (request, now_us), get_owed_wait_us (prompt, now_us));
}
