/*
 * quarantine-client.h: what this front knows of requests under which workers ended: asks the ledger's leader
 * for permits, and tells it what was seen here.
 *
 * All that is known is told again on each new link, so that a new leader learns it from the fronts.
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
/* (transfer none) */
QuinceSendGuard *quince_quarantine_client_get_guard (QuinceQuarantineClient *client);
void quince_quarantine_client_linked (QuinceQuarantineClient *client, QuinceLink *leader);
void quince_quarantine_client_unlinked (QuinceQuarantineClient *client);
/* For each message of the leader.  Returns: whether it is one of the quarantine's. */
gboolean quince_quarantine_client_take (QuinceQuarantineClient *client, const QuinceMessage *message);
/* What another front met without a leader; @value is %NULL where it is over. */
void quince_quarantine_client_take_list (QuinceQuarantineClient *client, const char *front, GBytes *value);
/* A key of the metadata store, by its last part; @value is %NULL where it is gone. */
void quince_quarantine_client_take_key (QuinceQuarantineClient *client, const char *name, GBytes *value);
