/*
 * operator-watch.h: the operators' configuration, kept in view.
 *
 * One watch of all keys for the whole node, since the key-value service is
 * rate-limited; each part gets the items under its own prefix.
 */
#pragma once

#include "node.h"

/* Does nothing when the settings name no key-value service. */
QuinceOperatorWatch *quince_operator_watch_new (QuinceNode *node);
void quince_operator_watch_free (QuinceOperatorWatch *watch);
gboolean quince_operator_watch_is_up (const QuinceOperatorWatch *watch);
/* Whether what is in view is current, by an answer of the service since @since_us. */
gboolean quince_operator_watch_is_confirmed (const QuinceOperatorWatch *watch, gint64 since_us);
/* Asks the service when it has not answered since @since_us. */
void quince_operator_watch_confirm (QuinceOperatorWatch *watch, gint64 since_us);
