/*
 * failure-detector.h: which of the fronts that the metadata store lists are alive, by their heartbeats.
 *
 * A lease shows a death only when it has run out, and an outage of the store keeps it in being; a link
 * without heartbeats shows it sooner.  Owns one entry a front.  Pure: time is an argument, in microseconds of
 * one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceFailureDetector QuinceFailureDetector;

/* @heartbeat_timeout_us: a front without a heartbeat for this long is silent */
QuinceFailureDetector *quince_failure_detector_new (gint64 heartbeat_timeout_us);
void quince_failure_detector_free (QuinceFailureDetector *detector);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceFailureDetector, quince_failure_detector_free)

/* The store lists @name, or no longer does.  Its entry may only have lapsed in an outage of the store, so a
 * front that is not listed any more is still judged for 10 s. */
void quince_failure_detector_set_listed (QuinceFailureDetector *detector,
                                         gint64 now_us,
                                         const char *name,
                                         gboolean listed);
/* A message of @name arrived. */
void
quince_failure_detector_record_heartbeat (QuinceFailureDetector *detector, gint64 now_us, const char *name);
/* This process begins to receive heartbeats: no front is silent until one was due. */
void quince_failure_detector_restart (QuinceFailureDetector *detector, gint64 now_us);

gboolean
quince_failure_detector_is_alive (const QuinceFailureDetector *detector, gint64 now_us, const char *name);
/* Drops entries that have not been listed for 10 s and are silent. */
void quince_failure_detector_remove_stale (QuinceFailureDetector *detector, gint64 now_us);

/**
 * quince_failure_detector_get_silent:
 * @silent: names of silent fronts are added; they are owned by the detector and live until it changes
 *
 * Returns: %FALSE, with @silent empty, when no judgement is possible: this process has not received
 * heartbeats for long enough, or hears so few fronts that it is more likely cut off itself
 */
gboolean
quince_failure_detector_get_silent (const QuinceFailureDetector *detector, gint64 now_us, GPtrArray *silent);

G_END_DECLS
