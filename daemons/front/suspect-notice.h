/*
 * suspect-notice.h: publishes this front's suspects under a key of the metadata store while it reaches no
 * leader of the ledger.
 *
 * Fronts that are partitioned from the leader share their suspects only through these keys.  Without them,
 * each front would retry a suspect independently of the others.
 *
 * Owns the key and its lease, the list of suspects and a timer.
 */
#pragma once

#include "meta/meta-store.h"
#include "core/request/quarantine.h"

typedef struct _QuinceSuspectNotice QuinceSuspectNotice;

/* @quarantine: must outlive the notice; @name: name of this front */
QuinceSuspectNotice *quince_suspect_notice_new (const QuinceQuarantine *quarantine, const char *name);
void quince_suspect_notice_free (QuinceSuspectNotice *notice);
/* Sets the store to write to.  @store: (transfer none) (nullable): %NULL to write nothing; @ttl_ms: time to
 * live of the key's lease, ms */
void quince_suspect_notice_set_store (QuinceSuspectNotice *notice, QuinceMetaStore *store, guint ttl_ms);
/* Adds the suspect @digest to the notice, and schedules a write.  Call it while no leader is reachable, when
 * a worker ended while running the request or answered it. */
void quince_suspect_notice_record_change (QuinceSuspectNotice *notice, const QuinceRequestDigest *digest);
/* Starts the notice when the leader becomes unreachable at @now_us (monotonic).  Adds the suspects that this
 * front recorded shortly before, because the leader may not have received them. */
void quince_suspect_notice_start (QuinceSuspectNotice *notice, gint64 now_us);
/* Clears the notice and removes its key, after all suspects were reported to a leader. */
void quince_suspect_notice_withdraw (QuinceSuspectNotice *notice);
