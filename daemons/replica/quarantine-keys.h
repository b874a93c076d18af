/*
 * quarantine-keys.h: what is held, as keys of the metadata store: for operators, and for processes that no
 * other one tells.
 */
#pragma once

#include "meta/meta-store.h"
#include "core/request/quarantine.h"

typedef struct _QuinceQuarantineKeys QuinceQuarantineKeys;

/* @store, @quarantine: must outlive it */
QuinceQuarantineKeys *quince_quarantine_keys_new (QuinceMetaStore *store, QuinceQuarantine *quarantine);
void quince_quarantine_keys_free (QuinceQuarantineKeys *keys);
/* A key of the store, by its last part; @value is %NULL where it is gone. */
void quince_quarantine_keys_take (QuinceQuarantineKeys *keys, const char *name, GBytes *value);
/* At the leader: brings one key to what is known.  @all: QuinceSuspect */
void quince_quarantine_keys_save (QuinceQuarantineKeys *keys, const GPtrArray *all);
