/*
 * load-turns.h: decides which worker loads new weights next when not all of them can load at once.
 *
 * The next load goes to the model with the smallest share of workers at the newest version, so that a model
 * with frequent versions cannot starve the others.  Within a model, the worker that is the most versions
 * behind comes first, then the worker with the fewest running samples.
 *
 * weight-orders.c fills a new object for each check.  It does no I/O.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceLoadTurns QuinceLoadTurns;

QuinceLoadTurns *quince_load_turns_new (void);
void quince_load_turns_free (QuinceLoadTurns *turns);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLoadTurns, quince_load_turns_free)
/* Counts a worker that is assigned to @model.  @up_to_date is TRUE if it has the newest version or is loading
 * it. */
void quince_load_turns_count_worker (QuinceLoadTurns *turns, const char *model, gboolean up_to_date);
/* Adds a worker that may load now and was counted as not up to date.  @worker is an opaque pointer. */
void quince_load_turns_add_candidate (QuinceLoadTurns *turns,
                                      const char *model,
                                      guint64 versions_behind,
                                      guint running_samples,
                                      gpointer worker);
/* Returns the @worker of the next candidate and counts it as up to date, or NULL if no candidate is left. */
gpointer quince_load_turns_next (QuinceLoadTurns *turns);

G_END_DECLS
