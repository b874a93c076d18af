/*
 * meta-private.h: internal functions of lib/meta.
 */
#pragma once

#include "meta/meta-store.h"

typedef struct _QuinceMetaCall QuinceMetaCall;

/* Called when the store answers again after failed calls.  A watch that began before @recovered_us
 * (monotonic) may be lost. */
typedef void (*QuinceMetaStoreRecoveredFunc) (gint64 recovered_us, gpointer user_data);
void quince_meta_store_add_listener (QuinceMetaStore *store,
                                     QuinceMetaStoreRecoveredFunc recovered,
                                     gpointer user_data);
/* Removes the listener that was added with @user_data. */
void quince_meta_store_remove_listener (QuinceMetaStore *store, gpointer user_data);
/* Lists one page of the keys with @prefix.
 * @after_key: (nullable): the last key of the previous page
 * @reason: why this process reads the store itself, for the metric; a static string
 * Returns: the call, owned by the store until its reply */
QuinceMetaCall *quince_meta_store_list (QuinceMetaStore *store,
                                        const char *prefix,
                                        const char *after_key,
                                        const char *reason,
                                        QuinceMetaReply reply,
                                        gpointer user_data);
/* Waits up to @wait_ms for changes of the keys with @prefix after @after_revision.
 * @reason: see quince_meta_store_list()
 * Returns: the call, owned by the store until its reply */
QuinceMetaCall *quince_meta_store_watch (QuinceMetaStore *store,
                                         const char *prefix,
                                         guint64 after_revision,
                                         guint wait_ms,
                                         const char *reason,
                                         QuinceMetaReply reply,
                                         gpointer user_data);
/* Cancels a call in progress and frees it; its reply function is not called. */
void quince_meta_call_cancel (QuinceMetaCall *call);
