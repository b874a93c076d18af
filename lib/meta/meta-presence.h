/*
 * meta-presence.h: a key that exists for as long as this process renews its lease.
 *
 * Owns the lease and the timer of its renewals; writes through a QuinceMetaStore.  Belongs to the
 * thread-default context that created it.
 */
#pragma once

#include "meta/meta-store.h"

G_BEGIN_DECLS

typedef struct _QuinceMetaPresence QuinceMetaPresence;

/**
 * quince_meta_presence_new:
 * @ttl_ms: the store removes the key so long after the last renewal that reached it
 *
 * Writes @key with @value under a lease, renews the lease, and writes the key anew if the lease was lost.
 */
QuinceMetaPresence *
quince_meta_presence_new (QuinceMetaStore *store, const char *key, GBytes *value, guint ttl_ms);
/* The machine was suspended: the lease may be over, and is renewed or opened anew at once. */
void quince_meta_presence_handle_resume (QuinceMetaPresence *presence);
/* Writes a new value under the same lease. */
void quince_meta_presence_update (QuinceMetaPresence *presence, GBytes *value);
/* Ends the lease and with it the key; call once, before free. */
void quince_meta_presence_withdraw (QuinceMetaPresence *presence);
void quince_meta_presence_free (QuinceMetaPresence *presence);

G_END_DECLS
