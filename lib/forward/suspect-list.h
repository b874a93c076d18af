/*
 * suspect-list.h: the suspects (quarantine.h) that a process met while it reached no leader, as one key of
 * the metadata store.
 *
 * For: processes that reach the store but not that process.  Owns nothing.
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* Suspects of one list, the latest ones.  Not measured: requests that end workers are a few at a time, and
 * each takes about 300 bytes in a key that all processes read. */
#define QUINCE_SUSPECT_LIST_MAX 16

/* @suspects: QuinceSuspect, not more than QUINCE_SUSPECT_LIST_MAX of them count; @wall_ms: the time of day
 * at
 * @now_us */
GBytes *quince_suspect_list_format (const GPtrArray *suspects, gint64 now_us, gint64 wall_ms);
/**
 * quince_suspect_list_merge:
 * @reported_by: the process whose list it is
 * @changed: QuinceRequestDigest, added to: suspects of which more is known now
 *
 * Takes a list into @quarantine; what cannot be read of it is left out.
 */
void quince_suspect_list_merge (QuinceQuarantine *quarantine,
                                gint64 now_us,
                                gint64 wall_ms,
                                const char *reported_by,
                                GBytes *value,
                                GArray *changed);

G_END_DECLS
