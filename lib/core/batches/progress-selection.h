/*
 * progress-selection.h: which backups hold further copies of the texts of running samples, which texts go
 * into the next report to one of them, and what a new leader does with the texts that replicas offer.
 *
 * Pure functions, used by the ledger's leader (daemons/replica/progress-copies.c, sample-replication.c).  The
 * successor receives all progress; further backups receive only what is worth a second copy.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Maximum size of the texts in one report to a further backup, bytes.  Five reports per second are 320 KiB/s,
 * about three times what 264 runs of one event per 47 ms and 20 bytes per event produce. */
#define QUINCE_PROGRESS_REPORT_MAX_BYTES (64 * 1024)
/* Maximum number of further backups: the setting [ledger] losses is at most 8, and the successor holds one
 * copy. */
#define QUINCE_PROGRESS_COPIES_MAX 7

/* ---- Texts of a report -------------------------------------------------- */

/**
 * QuinceProgressCandidate:
 * @events: events in the text so far
 * @sent_events: events that the backup has received; 0: none
 * @remaining_events: expected number of further events; 0: the text is complete
 * @pace_us: time between two events, us; 0: unknown
 * @bytes: size of the part of the text that the backup lacks: the whole text if @sent_events is 0
 */
typedef struct
{
  guint64 events;
  guint64 sent_events;
  double remaining_events;
  gint64 pace_us;
  gsize bytes;
} QuinceProgressCandidate;

/**
 * quince_progress_select_texts:
 * @selected: (out) (element-type guint): set to the indexes of the chosen candidates, nearest to their end
 * first
 *
 * Chooses texts that grew since the last report and would take at least 1 s to generate again.  A text that
 * the backup already has is continued even if its pace has become faster since.  Texts that do not fit into
 * QUINCE_PROGRESS_REPORT_MAX_BYTES wait for a later report; a text whose missing part is larger than that is
 * never chosen.
 */
void quince_progress_select_texts (const QuinceProgressCandidate *candidates,
                                   guint n_candidates,
                                   GArray *selected);

/* ---- Further backups ---------------------------------------------------- */

/* A connected member that receives records and is not the successor.  @zone: (nullable): %NULL: not known */
typedef struct
{
  guint64 replica;
  const char *zone;
} QuinceProgressBackup;

/**
 * quince_progress_choose_backups:
 * @backups: in the order of the view
 * @leader_zone: (nullable)
 * @successor_zone: (nullable)
 * @chosen: (inout) (array length=n_copies): replica id of the backup of each copy; 0: none
 *
 * Chooses a backup for each copy, preferably in a zone other than those of the leader and the successor, then
 * in the zone with the fewest copies, then first in the view.  A chosen backup stays while it is in @backups,
 * unless it shares the zone of the leader or the successor and another backup does not.
 */
void quince_progress_choose_backups (const QuinceProgressBackup *backups,
                                     guint n_backups,
                                     const char *leader_zone,
                                     const char *successor_zone,
                                     guint64 *chosen,
                                     guint n_copies);

/* ---- Offers to a new leader --------------------------------------------- */

/**
 * quince_progress_may_resume:
 * @versions: the weight versions that generated the text
 * @minimum_version: oldest version that the batch allows
 * @single_version: the whole text must come from one version
 *
 * Returns: whether a text of these versions may be continued in the batch
 */
gboolean quince_progress_may_resume (const guint64 *versions,
                                     guint n_versions,
                                     guint64 minimum_version,
                                     gboolean single_version);

/**
 * quince_progress_replaces_run:
 * @own_events: events that the running sample has
 * @offered_events: events of the text that another replica offers
 * @pace_us: time between two events, us; 0: unknown
 *
 * Returns: whether the run is stopped and resumed from the offered text: that saves at least 0.5 s, more than
 * a new run costs
 */
gboolean quince_progress_replaces_run (guint64 own_events, guint64 offered_events, gint64 pace_us);

/**
 * QuinceProgressKnowledge:
 * @has_further_copies: further backups hold copies, so that a replica may know only a part of the progress
 * @received_all: until recently the former leader sent all progress to this replica, as its successor
 * @other_members: members of the view other than this replica
 * @offered_members: those of them that have offered what they know
 * @taken_texts: texts that were taken from the last offer
 *
 * How complete the progress of samples is that a new leader has.
 */
typedef struct
{
  gboolean has_further_copies;
  gboolean received_all;
  guint other_members;
  guint offered_members;
  guint taken_texts;
} QuinceProgressKnowledge;

/* Returns whether no other replica is expected to have more progress, so that samples without text may start.
 * Without further copies, at most one other replica has more, so that an offer with a text is the last one.
 */
gboolean quince_progress_is_complete (const QuinceProgressKnowledge *knowledge);

G_END_DECLS
