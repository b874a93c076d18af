/*
 * quarantine-client.h: client of the quarantine on the ledger's leader.
 *
 * A suspect is a request that ran on a worker when the worker ended.  The client requests permits for
 * suspects from the ledger's leader, and reports to it which workers ended and which suspects were answered.
 * It reports all known suspects again on each new link, because a new leader collects them from the fronts.
 *
 * Owns the send guard with its quarantine, the suspect notice in the metadata store (suspect-notice.h), a
 * reference to the link and a timer.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "meta/meta-store.h"
#include "forward/send-guard.h"

typedef struct _QuinceQuarantineClient QuinceQuarantineClient;

/* @name: name of this front */
QuinceQuarantineClient *quince_quarantine_client_new (const QuinceQuarantineLimits *limits, const char *name);
void quince_quarantine_client_free (QuinceQuarantineClient *client);
/* See quince_suspect_notice_set_store(). */
void
quince_quarantine_client_set_store (QuinceQuarantineClient *client, QuinceMetaStore *store, guint ttl_ms);
/* Returns: (transfer none): the guard, for quince_backends_set_guard() */
QuinceSendGuard *quince_quarantine_client_get_guard (QuinceQuarantineClient *client);
/* Handles a new link to the leader: drops pending permit requests, reports all suspects to the leader and
 * withdraws the suspect notice. */
void quince_quarantine_client_linked (QuinceQuarantineClient *client, QuinceLink *leader);
/* Handles the loss of the link: drops pending permit requests and starts the suspect notice. */
void quince_quarantine_client_unlinked (QuinceQuarantineClient *client);
/* Call for each message from the leader, of any kind, because each shows that the leader is reachable.
 * Returns: %TRUE if it is a message of the quarantine and was handled */
gboolean quince_quarantine_client_handle_message (QuinceQuarantineClient *client,
                                                  const QuinceMessage *message);
/* Merges the suspect notice of the front @front, which reaches no leader.  @value: (nullable): %NULL if the
 * notice was withdrawn */
void quince_quarantine_client_merge_list (QuinceQuarantineClient *client, const char *front, GBytes *value);
/* Applies a change of a held request's entry in the metadata store.  @name: last part of its key, the digest
 * as text; @value: (nullable): %NULL if the entry was removed */
void quince_quarantine_client_apply_entry (QuinceQuarantineClient *client, const char *name, GBytes *value);
