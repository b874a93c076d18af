/*
 * progress-copies.c: copies of the progress of samples at backups.
 */
#include "progress-copies.h"

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "ledger-replication.h"

/* Time after the last report of the leader during which a replica that was its successor counts as knowing
 * all progress, us; as long as progress is offered (progress.c). */
#define REPORT_MAX_AGE_US (5 * G_USEC_PER_SEC)

/* Reports to a further backup on one link, in which each report continues the one before.  @number is unique
 * in this process.  A new stream begins each time the backup is chosen: if it was the successor in between,
 * it has other texts than the earlier reports contained. */
typedef struct
{
  guint64 link_serial;
  guint64 number;
} ReportStream;

struct _QuinceProgressCopies
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;                         /* borrowed */
  QuinceLedgerReplication *replication;             /* borrowed from the ledger node */
  QuinceResidencyCoordinator *residency;            /* borrowed */
  guint n_further;                                  /* number of further backups */
  guint64 further[QUINCE_PROGRESS_COPIES_MAX];      /* their replica ids; 0: none is connected */
  ReportStream streams[QUINCE_PROGRESS_COPIES_MAX]; /* to the further backups */
  guint64 last_stream;
  gint64 successor_report_us; /* at a backup: when it last received a report as the successor; 0: never */
};

QuinceProgressCopies *
quince_progress_copies_new (QuinceLedgerNode *ledger,
                            QuinceResidencyCoordinator *residency,
                            guint tolerated_losses)
{
  QuinceProgressCopies *copies = g_new0 (QuinceProgressCopies, 1);
  copies->ledger = ledger;
  copies->replication = quince_ledger_node_get_replication (ledger);
  copies->residency = residency;
  copies->n_further = MIN (MAX (tolerated_losses, 1) - 1, QUINCE_PROGRESS_COPIES_MAX);
  return copies;
}

void
quince_progress_copies_free (QuinceProgressCopies *copies)
{
  g_free (copies);
}

/* ---- Sending ------------------------------------------------------------ */

/* Sends @items to @backup, unless there are none.  @kind: value of the label "copy" of the metric */
static void
send_items (const QuinceLedgerBackup *backup, const GArray *items, const char *kind)
{
  g_autoptr (GBytes) packed = items->len > 0 ? quince_progress_pack_items (items) : NULL;
  if (packed == NULL)
    return;
  g_autofree char *labels = g_strdup_printf ("copy=\"%s\"", kind);
  quince_metric_add ("quince_replica_progress_bytes_total", labels, (double)g_bytes_get_size (packed));
  quince_link_send_bytes (backup->link, packed);
}

static gboolean
is_allowed_at (QuinceProgressCopies *copies, const QuinceBatchEntry *entry, const char *node)
{
  return quince_residency_coordinator_is_allowed (copies->residency, node, entry->batch->host,
                                                  entry->batch->path, entry->tenant);
}

void
quince_progress_copies_send_to_successor (QuinceProgressCopies *copies,
                                          QuinceBatchTable *table,
                                          const GArray *items)
{
  const QuinceLedgerBackup *successor = quince_ledger_replication_find_successor (copies->replication);
  if (successor == NULL)
    return;
  g_autoptr (GArray) allowed = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  for (guint i = 0; i < items->len; i++)
    {
      const QuinceProgressItem *item = &g_array_index (items, QuinceProgressItem, i);
      const QuinceBatchEntry *entry = quince_batch_table_find (table, item->batch);
      if (entry != NULL && is_allowed_at (copies, entry, successor->node))
        g_array_append_val (allowed, *item);
    }
  send_items (successor, allowed, "successor");
}

/* ---- Further backups ----------------------------------------------------- */

/* Begins a new stream if the backup of copy @number was just chosen, or is connected by another link. */
static void
update_stream (QuinceProgressCopies *copies, guint number, gboolean is_chosen_now)
{
  const QuinceLedgerBackup *backup
      = quince_ledger_replication_find_backup (copies->replication, copies->further[number]);
  ReportStream *stream = &copies->streams[number];
  if (backup == NULL || (!is_chosen_now && stream->link_serial == backup->serial))
    return;
  *stream = (ReportStream){ .link_serial = backup->serial, .number = ++copies->last_stream };
  const char *zone = quince_ledger_replication_get_zone (copies->replication, backup->replica);
  quince_log_info ("progress_copy", "copy=%u node=%s replica=%" G_GUINT64_FORMAT " zone=%s", number + 1,
                   backup->node, backup->replica, zone != NULL ? zone : "");
}

static void
choose_further (QuinceProgressCopies *copies)
{
  const QuinceLedgerBackup *successor = quince_ledger_replication_find_successor (copies->replication);
  const QuinceLedgerView *view = quince_ledger_node_get_view (copies->ledger);
  const char *leader_zone = quince_ledger_replication_get_zone (copies->replication, view->primary);
  const char *successor_zone
      = successor != NULL ? quince_ledger_replication_get_zone (copies->replication, successor->replica)
                          : NULL;
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (QuinceProgressBackup));
  quince_ledger_replication_list_copy_candidates (copies->replication, candidates);
  guint64 previous[QUINCE_PROGRESS_COPIES_MAX];
  memcpy (previous, copies->further, sizeof previous);
  quince_progress_choose_backups ((const QuinceProgressBackup *)candidates->data, candidates->len,
                                  leader_zone, successor_zone, copies->further, copies->n_further);
  for (guint i = 0; i < copies->n_further; i++)
    update_stream (copies, i, copies->further[i] != previous[i]);
}

typedef struct
{
  QuinceProgressCopies *copies;
  const char *node; /* name of the backup's machine */
} ResidencyCheck;

static gboolean
is_allowed_at_backup (const QuinceBatchEntry *entry, gpointer data)
{
  const ResidencyCheck *check = data;
  return is_allowed_at (check->copies, entry, check->node);
}

void
quince_progress_copies_send_further (QuinceProgressCopies *copies, QuinceSampleRunner *runner)
{
  if (copies->n_further == 0)
    return;
  choose_further (copies);
  for (guint i = 0; i < copies->n_further; i++)
    {
      const QuinceLedgerBackup *backup
          = quince_ledger_replication_find_backup (copies->replication, copies->further[i]);
      if (backup == NULL)
        continue;
      ResidencyCheck check = { copies, backup->node };
      const QuinceSampleCopyTarget target = { .number = i,
                                              .stream = copies->streams[i].number,
                                              .is_allowed = is_allowed_at_backup,
                                              .user_data = &check };
      g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
      quince_sample_runner_collect_copy (runner, &target, items);
      send_items (backup, items, "further");
    }
}

/* ---- Offers -------------------------------------------------------------- */

void
quince_progress_copies_record_offer (QuinceProgressCopies *copies, QuinceLink *link)
{
  quince_ledger_replication_record_progress_offer (copies->replication, link);
}

static gboolean
is_complete (QuinceProgressCopies *copies, gboolean received_all, guint n_taken)
{
  QuinceProgressKnowledge knowledge
      = { .has_further_copies = copies->n_further > 0, .received_all = received_all, .taken_texts = n_taken };
  quince_ledger_replication_count_progress_offers (copies->replication, &knowledge.other_members,
                                                   &knowledge.offered_members);
  return quince_progress_is_complete (&knowledge);
}

gboolean
quince_progress_copies_is_complete (QuinceProgressCopies *copies, QuinceProgressStore *progress)
{
  gint64 now_us = quince_now_us ();
  /* Without further copies, only the leader and its successor have recent progress. */
  gboolean received_all
      = copies->n_further == 0
            ? quince_progress_store_has_recent (progress, now_us)
            : copies->successor_report_us > 0 && now_us - copies->successor_report_us <= REPORT_MAX_AGE_US;
  return is_complete (copies, received_all, 0);
}

gboolean
quince_progress_copies_is_complete_with_offers (QuinceProgressCopies *copies, guint n_taken)
{
  return is_complete (copies, FALSE, n_taken);
}

/* ---- Reports ------------------------------------------------------------- */

/* Returns whether this backup comes first among the backups of the view: if it is connected, it is the
 * successor. */
static gboolean
is_first_backup (const QuinceProgressCopies *copies)
{
  const QuinceLedgerView *view = quince_ledger_node_get_view (copies->ledger);
  guint64 self = quince_ledger_node_get_replica_id (copies->ledger);
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (view->members.members_val[i].replica != view->primary)
      return view->members.members_val[i].replica == self;
  return FALSE;
}

void
quince_progress_copies_record_report (QuinceProgressCopies *copies)
{
  if (is_first_backup (copies))
    copies->successor_report_us = quince_now_us ();
}
