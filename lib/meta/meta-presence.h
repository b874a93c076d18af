/*
 * meta-presence.h: a key with a lease that this process renews.
 *
 * The store removes the key when the lease expires.  A presence owns its lease and the timer of the renewals,
 * and belongs to the thread-default main context that created it.
 */
#pragma once

#include "meta/meta-store.h"

G_BEGIN_DECLS

typedef struct _QuinceMetaPresence QuinceMetaPresence;

/**
 * quince_meta_presence_new:
 * @store: must outlive the presence
 * @ttl_ms: time to live of the lease, ms; the store removes the key this long after the last renewal
 *
 * Writes @key with @value under a lease and renews the lease.  Opens a new lease and writes the key again if
 * the lease is lost.
 *
 * Returns: (transfer full): the presence
 */
QuinceMetaPresence *
quince_meta_presence_new (QuinceMetaStore *store, const char *key, GBytes *value, guint ttl_ms);
/* Renews the lease, or opens a new one, immediately after a suspension of the machine. */
void quince_meta_presence_handle_resume (QuinceMetaPresence *presence);
/* Replaces the value and writes it under the current lease, or as soon as there is a lease. */
void quince_meta_presence_update (QuinceMetaPresence *presence, GBytes *value);
/* Ends the lease, which removes the key.  A lease that is being opened expires by itself, without a key.
 * Further calls do nothing. */
void quince_meta_presence_withdraw (QuinceMetaPresence *presence);
/* Stops the renewals.  Without quince_meta_presence_withdraw() the key remains until the lease expires.
 * @presence: (nullable) */
void quince_meta_presence_free (QuinceMetaPresence *presence);

G_END_DECLS
