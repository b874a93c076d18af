/*
 * suspect-notice.h: the suspects that this front saw, as a key of the metadata store while it reaches no
 * leader of the ledger.
 *
 * Fronts of a zone that is cut off from the leader learn of each other's suspects by these keys alone;
 * without them each front would send a suspect as often as a single front may.
 *
 * Owns the key, under a lease, the list of suspects in it and a timer.
 */
#pragma once

#include "meta/meta-store.h"
#include "core/request/quarantine.h"

typedef struct _QuinceSuspectNotice QuinceSuspectNotice;

/* @name: of this front; @quarantine must outlive it */
QuinceSuspectNotice *quince_suspect_notice_new (const QuinceQuarantine *quarantine, const char *name);
void quince_suspect_notice_free (QuinceSuspectNotice *notice);
/* @store: (transfer none) (nullable): %NULL: nothing is written; @ttl_ms: lease of the key */
void quince_suspect_notice_set_store (QuinceSuspectNotice *notice, QuinceMetaStore *store, guint ttl_ms);
/* A worker ended under the request @digest, or it was answered, and no leader can be reached. */
void quince_suspect_notice_record_change (QuinceSuspectNotice *notice, const QuinceRequestDigest *digest);
/* No leader can be reached from @now_us on (monotonic): what was seen shortly before may not have arrived. */
void quince_suspect_notice_start (QuinceSuspectNotice *notice, gint64 now_us);
/* A leader has been sent all reports: withdraws the key. */
void quince_suspect_notice_withdraw (QuinceSuspectNotice *notice);
