/*
 * meta-private.h: between the files of lib/meta.
 */
#pragma once

#include "meta/meta-store.h"

typedef struct _QuinceMetaCall QuinceMetaCall;

/* The store answers again since @recovered_us (monotonic): a watch that began before may have been
 * watch_may_be_lost.
 */
typedef void (*QuinceMetaStoreRecoveredFunc) (gint64 recovered_us, gpointer user_data);
void quince_meta_store_add_listener (QuinceMetaStore *store,
                                     QuinceMetaStoreRecoveredFunc recovered,
                                     gpointer user_data);
/* Removes the listener that was added with @user_data. */
void quince_meta_store_remove_listener (QuinceMetaStore *store, gpointer user_data);
/* @reason: why this process reads by itself, for the metric; static */
QuinceMetaCall *quince_meta_store_list (QuinceMetaStore *store,
                                        const char *prefix,
                                        const char *after_key,
                                        const char *reason,
                                        QuinceMetaReply reply,
                                        gpointer user_data);
QuinceMetaCall *quince_meta_store_watch (QuinceMetaStore *store,
                                         const char *prefix,
                                         guint64 after_revision,
                                         guint wait_ms,
                                         const char *reason,
                                         QuinceMetaReply reply,
                                         gpointer user_data);
/* Ends a call in progress without its reply. */
void quince_meta_call_cancel (QuinceMetaCall *call);
