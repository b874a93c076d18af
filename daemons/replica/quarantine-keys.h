/*
 * quarantine-keys.h: stores held requests as keys of the metadata store, for operators and for processes
 * that receive no reports from other processes.
 *
 * The object tracks the keys in the store and has at most one write in flight.  The caller owns the
 * quarantine.
 */
#pragma once

#include "meta/meta-store.h"
#include "core/request/quarantine.h"

typedef struct _QuinceQuarantineKeys QuinceQuarantineKeys;

/* @store, @quarantine: (transfer none): must outlive the object */
QuinceQuarantineKeys *quince_quarantine_keys_new (QuinceMetaStore *store, QuinceQuarantine *quarantine);
void quince_quarantine_keys_free (QuinceQuarantineKeys *keys);
/* Applies a changed key to the quarantine.  @name: last part of the key, the digest as text; @value:
 * (nullable): %NULL: the key was removed */
void quince_quarantine_keys_apply_entry (QuinceQuarantineKeys *keys, const char *name, GBytes *value);
/* Writes or removes one key that differs from the quarantine.  The leader calls it several times a second.
 * @suspects: (element-type QuinceSuspect): all suspects of the quarantine */
void quince_quarantine_keys_sync (QuinceQuarantineKeys *keys, const GPtrArray *suspects);
