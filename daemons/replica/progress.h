/*
 * progress.h: in-memory progress of samples that are being generated: text, events, weight versions and
 * failures.
 *
 * The leader replicates all of it to its successor and parts of it to further backups.  It is soft state: if
 * it is lost, texts are generated again.  A new leader resumes each sample after its last known event and
 * continues to count its failures.
 *
 * The store owns copies of all texts.  Times are monotonic, us.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceProgressStore QuinceProgressStore;

QuinceProgressStore *quince_progress_store_new (void);
void quince_progress_store_free (QuinceProgressStore *store);
/* Applies a progress report: from the leader at a backup, or from the disk.  A whole text replaces the known
 * one even if it is shorter, since the leader may have discarded that.  @now_us: when it was reported */
void
quince_progress_store_apply (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress);
/* Applies what another replica offers to this one, which is about to lead: only whole texts that are longer
 * than the known ones. */
void
quince_progress_store_merge (QuinceProgressStore *store, gint64 now_us, const QuinceSampleProgress *progress);
/* Returns the number of the last applied report of a sample; 0: none. */
guint64 quince_progress_store_get_last_report (const QuinceProgressStore *store);
/* Marks the progress that was reported after @after_report as read from the disk of this machine, so that it
 * is offered although it is not recent. */
void quince_progress_store_mark_from_disk (QuinceProgressStore *store, guint64 after_report);
/* Returns %TRUE if progress was reported in the last 5 s. */
gboolean quince_progress_store_has_recent (QuinceProgressStore *store, gint64 now_us);
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
/* Appends the progress to offer to a new leader to @items (element-type QuinceProgressItem), most recent
 * first: what was reported in the last 5 s, and what an earlier process wrote to the disk.  Stops after the
 * item that brings the texts to 4 MiB.  The items borrow from the store and are valid until it changes. */
void quince_progress_store_list_offers (QuinceProgressStore *store, gint64 now_us, GArray *items);
void quince_progress_store_clear (QuinceProgressStore *store);
/* Returns: (transfer full) (nullable): @items (element-type QuinceProgressItem) as a packed PROGRESS message,
 * or %NULL if they cannot be encoded */
GBytes *quince_progress_pack_items (const GArray *items);
