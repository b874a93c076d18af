/*
 * quarantine-keys.h: held requests as keys of the metadata store, for operators and for processes that no
 * other process reports to.
 *
 * Owns the set of keys that the store holds; one write at a time.  The quarantine itself belongs to the
 * caller.
 */
#pragma once

#include "meta/meta-store.h"
#include "core/request/quarantine.h"

typedef struct _QuinceQuarantineKeys QuinceQuarantineKeys;

/* @store, @quarantine: (transfer none): must outlive it */
QuinceQuarantineKeys *quince_quarantine_keys_new (QuinceMetaStore *store, QuinceQuarantine *quarantine);
void quince_quarantine_keys_free (QuinceQuarantineKeys *keys);
/* A key has changed; @name: its last part, the digest as text; @value: (nullable): %NULL: it was removed. The
 * quarantine takes what it says. */
void quince_quarantine_keys_apply_entry (QuinceQuarantineKeys *keys, const char *name, GBytes *value);
/* At the leader, several times a second: writes or removes one key that differs from the quarantine.
 * @all: (element-type QuinceSuspect): its suspects */
void quince_quarantine_keys_sync (QuinceQuarantineKeys *keys, const GPtrArray *all);
