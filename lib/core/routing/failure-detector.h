/*
 * failure-detector.h: which of the processes that the metadata store lists are still heard.
 *
 * A lease tells of a death only when it has run out, and an outage of the store keeps it alive; a link that
 * falls silent tells sooner.  Pure: the time is an argument.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceFailureDetector QuinceFailureDetector;

/* @silence_us: who is not heard for so long is silent */
QuinceFailureDetector *quince_failure_detector_new (gint64 silence_us);
void quince_failure_detector_free (QuinceFailureDetector *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceFailureDetector, quince_failure_detector_free)

/* The store lists @name, or does so no longer; that may be the store's own doing, so who vanished from its
 * list is judged for some seconds more. */
void quince_failure_detector_set_listed (QuinceFailureDetector *table,
                                         gint64 now_us,
                                         const char *name,
                                         gboolean listed);
/* @name said something. */
void quince_failure_detector_heartbeat (QuinceFailureDetector *table, gint64 now_us, const char *name);
/* This process begins to listen: nobody is silent before he had the time to say something. */
void quince_failure_detector_restart (QuinceFailureDetector *table, gint64 now_us);

gboolean
quince_failure_detector_is_alive (const QuinceFailureDetector *table, gint64 now_us, const char *name);
/* Lets go of those that are long gone from the list, and silent. */
void quince_failure_detector_forget (QuinceFailureDetector *table, gint64 now_us);

/**
 * quince_failure_detector_get_silent:
 * @silent: (out): names, owned by the table until it changes
 *
 * Returns: %FALSE when nothing can be said: this process listens too short a time, or hears so few that it is
 *   rather itself that is cut off
 */
gboolean
quince_failure_detector_get_silent (const QuinceFailureDetector *table, gint64 now_us, GPtrArray *silent);

G_END_DECLS
