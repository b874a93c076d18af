/*
 * load-turns.h: which of the workers that are behind loads next, where they cannot all load at once.
 *
 * Models share the loads: the next one goes to the model with the smallest part of its workers at the newest
 * version, so that a model with frequent versions takes no more than its share.  Within a model the worker
 * goes first that is the furthest behind, then the one that runs the least.
 *
 * For: weight-orders.c, which fills turns for each check.  Owns: the candidates.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceLoadTurns QuinceLoadTurns;

QuinceLoadTurns *quince_load_turns_new (void);
void quince_load_turns_free (QuinceLoadTurns *turns);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLoadTurns, quince_load_turns_free)
/* A worker is kept at @model; @fresh: it has the version named last, or loads now. */
void quince_load_turns_count_worker (QuinceLoadTurns *turns, const char *model, gboolean up_to_date);
/* A worker may load now: one of those counted as not fresh.  @behind: versions; @running: its runs;
 * @worker: returned as it is */
void quince_load_turns_add_candidate (QuinceLoadTurns *turns,
                                      const char *model,
                                      guint64 versions_behind,
                                      guint running_samples,
                                      gpointer worker);
/* Returns: the worker whose turn it is, which counts as fresh from now on; %NULL: no more */
gpointer quince_load_turns_next (QuinceLoadTurns *turns);

G_END_DECLS
