/*
 * operator-state.h: the keys of the operator and the trainers, decoded.
 *
 * Owns the current configuration, the newest announced versions and the names of draining machines; passes
 * evacuated zones to the backends.  Ignores a configuration or version that is older than the current one.
 * Used only by the observer.
 */
#pragma once

#include "observer/observer.h"

G_BEGIN_DECLS

typedef struct _QuinceOperatorState QuinceOperatorState;

/* @backends, @codec, @callbacks: must outlive the state.  @user_data: passed to @callbacks */
QuinceOperatorState *quince_operator_state_new (QuinceBackends *backends,
                                                const QuinceObserverCodec *codec,
                                                const QuinceObserverCallbacks *callbacks,
                                                gpointer user_data);
void quince_operator_state_free (QuinceOperatorState *state);
/* Applies a change of one of the operator's keys.  @fed: another process read it; for the log */
void quince_operator_state_apply (QuinceOperatorState *state, const QuinceMetaItem *item, gboolean fed);
/* Marks the policy in the store as known; it is already active, if there is a valid one.  From now on the
 * configuration is reported and returned.  Without this wait a starting process would route by the policy
 * from its settings although the store has a newer one. */
void quince_operator_state_set_policy_known (QuinceOperatorState *state);
/* Returns: (nullable) (transfer none): the current configuration; %NULL until a configuration and the policy
 * in the store are known */
QuinceRouteTable *quince_operator_state_get_routes (const QuinceOperatorState *state);
/* Returns the newest announced version of @model, or 0 if there is none. */
guint64 quince_operator_state_get_version (const QuinceOperatorState *state, const char *model);

G_END_DECLS
