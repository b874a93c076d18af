/*
 * operator-state.h: what the operator and the trainers have asked for, as this process knows it.
 *
 * Owns the configuration in force, the newest named versions and the machines to be emptied; evacuated zones
 * go to the backends.  Configurations and versions only rise: an older one is ignored.  Used by the observer
 * alone.
 */
#pragma once

#include "observer/observer.h"

G_BEGIN_DECLS

typedef struct _QuinceOperatorState QuinceOperatorState;

/* All arguments must outlive the state; @callbacks are called with @user_data. */
QuinceOperatorState *quince_operator_state_new (QuinceBackends *backends,
                                                const QuinceObserverDialect *dialect,
                                                const QuinceObserverCallbacks *callbacks,
                                                gpointer user_data);
void quince_operator_state_free (QuinceOperatorState *state);
/* Takes one of the operator's keys.  @fed: another process read it, for the log. */
void quince_operator_state_apply (QuinceOperatorState *state, const QuinceMetaItem *item, gboolean fed);
/* The accepted policy, if there is one, is in force: the configuration may be reported and used.  Without
 * this wait a starting process would decide by the settings' policy after another one was accepted. */
void quince_operator_state_set_policy_known (QuinceOperatorState *state);
/* (nullable) (transfer none): %NULL until both a configuration and the accepted policy are known */
QuinceRouteTable *quince_operator_state_get_routes (const QuinceOperatorState *state);
/* The newest version of @model that was named; 0: none. */
guint64 quince_operator_state_get_version (const QuinceOperatorState *state, const char *model);

G_END_DECLS
