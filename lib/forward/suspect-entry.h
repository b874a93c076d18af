/*
 * suspect-entry.h: held requests (quarantine.h) as keys of the metadata store.
 *
 * For: operators, and processes that are not reached by the leader.  Owns nothing.
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

GBytes *quince_suspect_entry_format (const QuinceSuspect *suspect, gint64 ended_wall_ms);
/* The texts of @suspect are the caller's then: quince_suspect_entry_clear().  Returns: %FALSE when @value is
 * none */
gboolean
quince_suspect_entry_parse (GBytes *value, QuinceSuspect *suspect, gint64 *ended_wall_ms, GError **error);
void quince_suspect_entry_clear (QuinceSuspect *suspect);
/**
 * quince_suspect_entry_apply:
 * @name: last part of the key: the digest
 * @value: (nullable): %NULL: the key is gone, and the request is released
 *
 * Takes a key into @quarantine.  Returns: whether anything changed
 */
gboolean quince_suspect_entry_apply (QuinceQuarantine *quarantine,
                                     gint64 now_us,
                                     gint64 wall_ms,
                                     const char *name,
                                     GBytes *value);

G_END_DECLS
