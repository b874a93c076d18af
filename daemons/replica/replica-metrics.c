/*
 * replica-metrics.c: sets the metrics that a replica computes for each scrape.
 */
#include "replica-metrics.h"

#include "runtime/clock.h"
#include "runtime/metrics.h"

static void
set_ledger_metrics (const QuinceLedgerNode *ledger)
{
  const QuinceLedgerView *view = quince_ledger_node_get_view (ledger);
  quince_metric_set ("quince_replica_leads", "", quince_ledger_node_is_leading (ledger));
  quince_metric_set ("quince_replica_epoch", "", view != NULL ? (double)view->epoch : 0);
  quince_metric_set ("quince_replica_lead_unpublished", "", quince_ledger_node_is_unpublished (ledger));
  quince_metric_set ("quince_replica_members", "", view != NULL ? view->members.members_len : 0);
  quince_metric_set ("quince_replica_log_end", "", (double)quince_ledger_node_get_last_index (ledger));
  quince_metric_set ("quince_replica_commit_index", "", (double)quince_ledger_node_get_commit_index (ledger));
}

static void
set_worker_metrics (QuinceBackends *backends)
{
  quince_metric_set ("quince_replica_workers_known", "",
                     quince_worker_table_get_size (quince_backends_get_workers (backends)));
  quince_metric_set ("quince_replica_worker_connections_opened", "",
                     (double)quince_backends_get_n_connections_opened (backends));
  quince_metric_set ("quince_replica_workers_cold", "", quince_backends_count_cold (backends));
}

static void
refresh (gpointer data)
{
  QuinceReplicaParts *parts = data;
  const QuinceMetaContact *contact = quince_meta_store_get_contact (parts->store);
  set_ledger_metrics (parts->ledger);
  set_worker_metrics (parts->backends);
  quince_backends_refresh_share_metrics (parts->backends);
  quince_observer_set_metrics (parts->observer);
  quince_feed_service_set_metrics (parts->feed);
  quince_send_guard_set_metrics (quince_quarantine_coordinator_get_guard (parts->quarantine));
  quince_metric_set ("quince_store_answer_age_seconds", "",
                     (double)(quince_now_us () - contact->last_answer_us) / G_USEC_PER_SEC);
  quince_batch_service_set_metrics (parts->batches);
  quince_order_records_set_metrics (parts->order_records);
}

gboolean
quince_replica_metrics_open (QuinceReplicaParts *parts, const char *address, GError **error)
{
  if (*address == '\0')
    return TRUE;
  quince_metrics_set_refresh (refresh, parts);
  parts->metrics = quince_text_server_new (address, "/metrics", quince_metrics_format, error);
  return parts->metrics != NULL;
}
