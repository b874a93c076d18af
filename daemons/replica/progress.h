/*
 * progress.h: progress of samples that are being generated: text, events, weight versions and failures.
 *
 * The leader reports it to its successor.  Soft state: its loss costs tokens and repeated runs only.  A new
 * leader resumes each sample behind the last event that is known here, and counts its failures on.
 *
 * Owns copies of all texts.  Time is an argument, in us of the monotonic clock.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceProgressStore QuinceProgressStore;

QuinceProgressStore *quince_progress_store_new (void);
void quince_progress_store_free (QuinceProgressStore *store);
/* At a backup: a report of the leader. */
void
quince_progress_store_apply (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress);
/* At a new leader: how often workers failed the sample; 0: not known. */
guint quince_progress_store_get_failures (QuinceProgressStore *store, const char *batch, guint item);
/**
 * quince_progress_store_get:
 * @text: (inout): the text so far is appended
 * @versions: (inout) (element-type guint64): versions of the weights that made it are appended
 * @last_event: (out): number of the last event that is in @text
 *
 * At a new leader.  Returns: whether any progress is known
 */
gboolean quince_progress_store_get (QuinceProgressStore *store,
                                    const char *batch,
                                    guint item,
                                    GString *text,
                                    GArray *versions,
                                    guint64 *last_event);
/* Appends the progress that was reported in the last 5 s to @items (element-type QuinceProgressItem), the
 * last reported first, about 4 MiB of texts at most.  The items borrow from the store and are valid until it
 * changes.
 */
void quince_progress_store_list_recent (QuinceProgressStore *store, gint64 now_us, GArray *items);
void quince_progress_store_clear (QuinceProgressStore *store);
