/*
 * suspect-notice.h: what this front met of requests that end workers, in the metadata store while it reaches
 * no leader of the ledger.
 *
 * Fronts of a zone that is cut from the leader learn of each other's ends by it alone: else each of them
 * would send such a request as often as one front may.
 */
#pragma once

#include "meta/meta-store.h"
#include "core/request/quarantine.h"

typedef struct _QuinceSuspectNotice QuinceSuspectNotice;

/* @name: of this front; @quarantine must outlive it */
QuinceSuspectNotice *quince_suspect_notice_new (const QuinceQuarantine *quarantine, const char *name);
void quince_suspect_notice_free (QuinceSuspectNotice *notice);
/* @store: (nullable): nothing is written without it; @ttl_ms: what was noted goes so long after this front
 * was last heard */
void quince_suspect_notice_set_store (QuinceSuspectNotice *notice, QuinceMetaStore *store, guint ttl_ms);
/* A worker ended under the request, or it was answered, and no leader can be told. */
void quince_suspect_notice_changed (QuinceSuspectNotice *notice, const QuinceRequestDigest *digest);
/* No leader is linked any more: what was met shortly before may not have reached it. */
void quince_suspect_notice_begin (QuinceSuspectNotice *notice, gint64 now_us);
/* A leader was told of all. */
void quince_suspect_notice_end (QuinceSuspectNotice *notice);
