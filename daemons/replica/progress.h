/*
 * progress.h: in-memory progress of samples that are being generated: text, events, weight versions and
 * failures.
 *
 * The leader replicates it to its successor.  It is soft state: if it is lost, texts are generated again.  A
 * new leader resumes each sample after its last known event and continues to count its failures.
 *
 * The store owns copies of all texts.  Times are monotonic, us.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceProgressStore QuinceProgressStore;

QuinceProgressStore *quince_progress_store_new (void);
void quince_progress_store_free (QuinceProgressStore *store);
/* Applies a progress report: from the leader at a backup, or from the disk.  @now_us: when it was reported */
void
quince_progress_store_apply (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress);
/* Returns how many runs of the sample failed at workers, or 0 if the sample is unknown. */
guint quince_progress_store_get_failures (QuinceProgressStore *store, const char *batch, guint item);
/**
 * quince_progress_store_get:
 * @text: (inout): the known text is appended
 * @versions: (inout) (element-type guint64): the weight versions that generated the text are appended
 * @last_event: (out): id of the last event in @text; not set if the function returns %FALSE
 *
 * Returns: %TRUE if at least one event of the sample is known
 */
gboolean quince_progress_store_get (QuinceProgressStore *store,
                                    const char *batch,
                                    guint item,
                                    GString *text,
                                    GArray *versions,
                                    guint64 *last_event);
/* Appends the progress that was reported in the last 5 s to @items (element-type QuinceProgressItem), most
 * recent first.  Stops after the item that brings the texts to 4 MiB.  The items borrow from the store and
 * are valid until it changes. */
void quince_progress_store_list_recent (QuinceProgressStore *store, gint64 now_us, GArray *items);
void quince_progress_store_clear (QuinceProgressStore *store);
