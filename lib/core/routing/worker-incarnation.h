/*
 * worker-incarnation.h: identifies one start of a worker's process.
 *
 * A worker may start again under its former id.  Its new process knows nothing of the former one, and the
 * requests that ran on the former one have ended.  What is remembered of a worker therefore belongs to an
 * incarnation, not to an id.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* A digest of a worker's id and the start time of its process, equal in all processes; never 0. */
typedef guint64 QuinceIncarnation;

/* @started_at_ms: start of the worker's process, Unix time in ms; 0: not given */
QuinceIncarnation quince_incarnation_make (const char *worker_id, gint64 started_at_ms);
/* Returns the incarnation that stands for a later start of the same worker of which no start time is known.
 */
QuinceIncarnation quince_incarnation_get_successor (QuinceIncarnation incarnation);
/* Returns whether @later is @incarnation or one of its first @successors_max successors. */
gboolean quince_incarnation_is_same_or_successor (QuinceIncarnation incarnation,
                                                  QuinceIncarnation later,
                                                  guint successors_max);

G_END_DECLS
