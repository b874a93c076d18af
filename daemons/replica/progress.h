/*
 * progress.h: texts of samples as far as they are made, told by the leader to its backups.
 *
 * Soft state: it saves tokens, and runs of samples that fail each time.  A new leader goes on behind the last
 * event, and from the number of failures, that it was told of.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceProgressStore QuinceProgressStore;

QuinceProgressStore *quince_progress_store_new (void);
void quince_progress_store_free (QuinceProgressStore *store);
/* At a backup: news of the leader. */
void
quince_progress_store_take (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress);
/* At a new leader: how often workers answered that they failed the sample, as far as is known. */
guint quince_progress_store_get_failures (QuinceProgressStore *store, const char *batch, guint item);
/* At a new leader.  %TRUE: something is known; @text and @versions (guint64) are appended to, @last_event is
 * set */
gboolean quince_progress_store_get (QuinceProgressStore *store,
                                    const char *batch,
                                    guint item,
                                    GString *text,
                                    GArray *versions,
                                    guint64 *last_event);
/* Adds what was told in the last few seconds to @items (QuinceProgressItem), some megabytes of whole texts at
 * the most, told last first; they point into the store and are good until it changes. */
void quince_progress_store_list (QuinceProgressStore *store, gint64 now_us, GArray *items);
void quince_progress_store_clear (QuinceProgressStore *store);
