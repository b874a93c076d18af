/*
 * quarantine-client.h: a front's part in the quarantine of requests under which workers ended (suspects).
 *
 * Requests permits for suspects from the ledger's leader and reports to it what this front sees.  All that is
 * known is reported again on each new link, so that a new leader learns it from the fronts.
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

/* @name: of this front */
QuinceQuarantineClient *quince_quarantine_client_new (const QuinceQuarantineLimits *limits, const char *name);
void quince_quarantine_client_free (QuinceQuarantineClient *client);
/* See quince_suspect_notice_set_store(). */
void
quince_quarantine_client_set_store (QuinceQuarantineClient *client, QuinceMetaStore *store, guint ttl_ms);
/* Returns: (transfer none): the guard, for quince_backends_set_guard() */
QuinceSendGuard *quince_quarantine_client_get_guard (QuinceQuarantineClient *client);
/* A link to the leader is open, or closed. */
void quince_quarantine_client_linked (QuinceQuarantineClient *client, QuinceLink *leader);
void quince_quarantine_client_unlinked (QuinceQuarantineClient *client);
/* For each message of the leader, of any kind: it is a sign of life.
 * Returns: whether it is one of the quarantine's, and was taken */
gboolean quince_quarantine_client_handle_message (QuinceQuarantineClient *client,
                                                  const QuinceMessage *message);
/* The suspect notice of a front that reaches no leader; @value: (nullable): %NULL: it was withdrawn. */
void quince_quarantine_client_merge_list (QuinceQuarantineClient *client, const char *front, GBytes *value);
/* The entry of a held request in the metadata store; @name: last part of its key, the digest as text; @value:
 * (nullable): %NULL: it was removed. */
void quince_quarantine_client_apply_entry (QuinceQuarantineClient *client, const char *name, GBytes *value);
