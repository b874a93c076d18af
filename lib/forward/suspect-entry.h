/*
 * suspect-entry.h: entries of the metadata store for suspects that are held (quarantine.h).
 *
 * Operators delete an entry to release its suspect.  Processes that are not connected to the leader read
 * the entries to know which requests are held.
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* Returns: (transfer full): the entry.  @ended_wall_ms: wall-clock time of the last end, ms */
GBytes *quince_suspect_entry_format (const QuinceSuspect *suspect, gint64 ended_wall_ms);
/* Sets the fields of @suspect from an entry, except its digest and @ended_us.  @suspect: (inout): zeroed
 * apart from its digest; the caller frees its strings with quince_suspect_entry_clear().  @ended_wall_ms:
 * (out): wall-clock time of the last end, ms.  Returns: %FALSE if @value is malformed; @error is not set if
 * "ended_ms" is 0 */
gboolean
quince_suspect_entry_parse (GBytes *value, QuinceSuspect *suspect, gint64 *ended_wall_ms, GError **error);
/* Frees the strings that quince_suspect_entry_parse() set. */
void quince_suspect_entry_clear (QuinceSuspect *suspect);
/**
 * quince_suspect_entry_apply:
 * @wall_ms: wall-clock time at @now_us, ms
 * @name: last component of the key: the digest of the suspect
 * @value: (nullable): the entry; %NULL: it was deleted, which releases the suspect
 *
 * Merges an entry into @quarantine.  A malformed one is logged and ignored.
 *
 * Returns: whether @quarantine changed
 */
gboolean quince_suspect_entry_apply (QuinceQuarantine *quarantine,
                                     gint64 now_us,
                                     gint64 wall_ms,
                                     const char *name,
                                     GBytes *value);

G_END_DECLS
