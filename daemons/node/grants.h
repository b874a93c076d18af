/*
 * grants.h: the scheduler of this node and its clock.
 *
 * Gives the pure scheduler the time, wakes it when it asks for it, and hands
 * its decisions to the sessions.
 */
#pragma once

#include <quince/scheduler.h>

#include "node.h"

QuinceGrants *quince_grants_new (QuinceNode *node);
void quince_grants_free (QuinceGrants *grants);

void quince_grants_request (QuinceGrants *grants, guint64 client, const QuinceGrantRequest *request);
void quince_grants_cancel (QuinceGrants *grants, const QuinceGrantCancel *cancel);
void quince_grants_end (QuinceGrants *grants, const QuinceGrantEnd *end);
void quince_grants_client_gone (QuinceGrants *grants, guint64 client);
void quince_grants_engine_report (QuinceGrants *grants, const QuinceEngineReport *report);
void quince_grants_engine_leaving (QuinceGrants *grants,
                                   const char *engine,
                                   QuinceLeavingSource source,
                                   gboolean leaving);
void quince_grants_set_ready (QuinceGrants *grants, gboolean ready);
/* Planned stop: the queue goes elsewhere. */
void quince_grants_stop (QuinceGrants *grants);
/* For calls that decide nothing at once, and for what status reads. */
QuinceScheduler *quince_grants_get_scheduler (QuinceGrants *grants);
