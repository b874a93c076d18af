/*
 * failure-detector.h: detects failed fronts by missing heartbeats.
 *
 * Heartbeats reveal a failed front before its lease in the metadata store expires, and also while the store
 * is unavailable.  The detector owns one entry per front.  Pure: time is an argument, in microseconds of one
 * monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceFailureDetector QuinceFailureDetector;

/* @heartbeat_timeout_us: a front that sends no heartbeat for this long is silent */
QuinceFailureDetector *quince_failure_detector_new (gint64 heartbeat_timeout_us);
void quince_failure_detector_free (QuinceFailureDetector *detector);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceFailureDetector, quince_failure_detector_free)

/* Records whether the metadata store lists the front @name.  A front that is no longer listed is monitored
 * for another 10 s, since its entry may have expired during an outage of the store. */
void quince_failure_detector_set_listed (QuinceFailureDetector *detector,
                                         gint64 now_us,
                                         const char *name,
                                         gboolean listed);
/* Records a heartbeat from the front @name; adds the front if it is unknown. */
void
quince_failure_detector_record_heartbeat (QuinceFailureDetector *detector, gint64 now_us, const char *name);
/* Restarts monitoring, for example when this process becomes the leader.  No front is reported as silent
 * until the heartbeat timeout has passed. */
void quince_failure_detector_restart (QuinceFailureDetector *detector, gint64 now_us);

/* Returns %TRUE if a heartbeat arrived within the timeout, or the front was listed within it; %FALSE if the
 * front is unknown. */
gboolean
quince_failure_detector_is_alive (const QuinceFailureDetector *detector, gint64 now_us, const char *name);
/* Removes silent fronts that have not been listed for 10 s. */
void quince_failure_detector_remove_stale (QuinceFailureDetector *detector, gint64 now_us);

/**
 * quince_failure_detector_get_silent:
 * @silent: (element-type utf8): receives the names of silent fronts, which the detector owns; valid until it
 *   changes
 *
 * Returns: %TRUE if the result is reliable; %FALSE, with @silent empty, if monitoring started less than the
 * heartbeat timeout ago, or if fewer than half of the fronts are alive, which suggests that this process
 * itself is isolated
 */
gboolean
quince_failure_detector_get_silent (const QuinceFailureDetector *detector, gint64 now_us, GPtrArray *silent);

G_END_DECLS
