/*
 * operator-items.h: JSON forms of the operators' keys (internal to the
 * platform library).  Pure functions without state.
 */
#pragma once

#include "clients/operator-store.h"

G_BEGIN_DECLS

/* Values to write; (transfer full). */
char *quince_policy_head_format (const QuincePolicyProposal *proposal, const char *proposal_id);
char *quince_operator_event_format (const QuinceOperatorEvent *event);
char *quince_operator_drain_format (const char *engine, const char *by);
char *quince_operator_voters_format (const QuinceReplicaSet *voters);

/* %FALSE with QUINCE_OPERATOR_ERROR_INVALID when the argument may not be written. */
gboolean quince_policy_proposal_validate (const QuincePolicyProposal *proposal, GError **error);
gboolean quince_operator_event_validate (const QuinceOperatorEvent *event, GError **error);
gboolean quince_operator_name_validate (const char *name, GError **error);

G_END_DECLS
