/*
 * suspect-list.h: the suspects (quarantine.h) that a process recorded while it reached no leader, as one
 * entry of the metadata store.
 *
 * Other processes that reach the store merge the list.
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* Maximum number of suspects in a list.  Each takes about 300 bytes in an entry that all processes read. */
#define QUINCE_SUSPECT_LIST_MAX 16

/* Formats the first QUINCE_SUSPECT_LIST_MAX of @suspects (element-type QuinceSuspect).  @wall_ms: wall-clock
 * time that corresponds to @now_us, ms.  Returns: (transfer full): the list */
GBytes *quince_suspect_list_format (const GPtrArray *suspects, gint64 now_us, gint64 wall_ms);
/**
 * quince_suspect_list_merge:
 * @wall_ms: wall-clock time at @now_us, ms
 * @reported_by: name of the process that wrote the list
 * @changed: (element-type QuinceRequestDigest): digests of the suspects that the merge changed are appended
 *
 * Merges a list into @quarantine.  Skips malformed suspects, and logs a list that cannot be parsed.
 */
void quince_suspect_list_merge (QuinceQuarantine *quarantine,
                                gint64 now_us,
                                gint64 wall_ms,
                                const char *reported_by,
                                GBytes *value,
                                GArray *changed);

G_END_DECLS
