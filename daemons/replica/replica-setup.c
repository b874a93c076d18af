/*
 * replica-setup.c: creates the parts of a replica from its settings and connects them.
 */
#include "replica-setup.h"

#include "forward/policy-entry.h"
#include "runtime/clock.h"

#include "platform.h"
#include "replica-leadership.h"
#include "replica-ledger-events.h"
#include "replica-metrics.h"
#include "replica-store-events.h"

/* A leader may act for this long after a quorum last acknowledged it.  Shorter than LEADER_TIMEOUT_US, so
 * that two leaders never act at the same time (docs/DESIGN.md, "Lease"). */
#define LEADER_LEASE_US (600 * 1000)
/* A backup that receives no message from the leader for this long may follow another one. */
#define LEADER_TIMEOUT_US (1000 * 1000)
/* The leader removes a member from the view if it receives no message from it for this long. */
#define MEMBER_TIMEOUT_US (1000 * 1000)
/* Added to orders.pause, because the last orders of the former leader may still be in flight.  Longer than
 * any round trip between machines. */
#define ORDER_PAUSE_MARGIN_US (200 * 1000)

/* ---- Parts without files and listening sockets --------------------------- */

/* Returns %TRUE if this replica may grant sends to cold workers: it leads, and its lease rules out another
 * leader. */
static gboolean
may_grant_sends (gpointer data)
{
  const QuinceReplicaParts *parts = data;
  return quince_replica_leadership_is_active (parts->leadership)
         && quince_ledger_node_may_accept (parts->ledger);
}

static void
create_quarantine (QuinceReplicaParts *parts, const QuinceSettings *settings)
{
  QuinceQuarantineLimits limits;
  quince_quarantine_read_limits (settings, &limits);
  QuinceWorkerTable *workers = quince_backends_get_workers (parts->backends);
  parts->quarantine = quince_quarantine_coordinator_new (&limits, parts->name, parts->store, workers);
  quince_backends_set_guard (parts->backends, quince_quarantine_coordinator_get_guard (parts->quarantine));
}

static void
create_warmup (QuinceReplicaParts *parts, const QuinceSettings *settings)
{
  QuinceWarmupBounds bounds;
  quince_warmup_read_bounds (settings, &bounds);
  QuinceWorkerTable *workers = quince_backends_get_workers (parts->backends);
  parts->warmup = quince_warmup_coordinator_new (&bounds, workers, may_grant_sends, parts);
  quince_backends_set_warmup (parts->backends, quince_warmup_coordinator_get_sends (parts->warmup));
}

static void
create_observer (QuinceReplicaParts *parts, const QuinceSettings *settings)
{
  QuinceObserverOptions options;
  quince_observer_read_options (settings, &options);
  options.workers_wait_to_be_fed = TRUE;
  parts->observer = quince_observer_new (parts->store, parts->backends, &quince_platform_observer_codec,
                                         &options, &quince_replica_store_callbacks, parts);
  quince_warmup_coordinator_set_observer (parts->warmup, parts->observer);
  parts->member_feed_wait = quince_member_feed_wait_new (parts->observer, parts->name);
  parts->feed = quince_feed_service_new (parts->observer);
}

static void
create_batches (QuinceReplicaParts *parts, const QuinceSettings *settings)
{
  gint64 retention_us = quince_settings_get_duration_us (settings, "ledger", "keep");
  gint64 result_window_us = quince_settings_get_duration_us (settings, "results", "group_window");
  parts->placement = quince_model_placement_new ();
  parts->progress = quince_progress_store_new ();
  parts->batch_memory = quince_batch_memory_new (settings);
  parts->batches = quince_batch_service_new (parts->backends, parts->observer, parts->placement,
                                             parts->progress, retention_us, result_window_us);
}

static guint
read_tolerated_losses (const QuinceSettings *settings)
{
  return (guint)quince_settings_get_integer (settings, "ledger", "losses");
}

void
quince_replica_setup_create (QuinceReplicaParts *parts,
                             const QuinceSettings *settings,
                             QuinceTopology *topology)
{
  parts->name = g_strdup (quince_settings_get_text (settings, "node", "name"));
  parts->leadership = quince_replica_leadership_new (parts);
  parts->heartbeats = quince_heartbeats_new ();
  parts->backends = quince_backends_new (topology, QUINCE_PLATFORM_REQUEST_ID_HEADER);
  parts->store = quince_meta_store_new (quince_settings_get_text (settings, "store", "address"),
                                        &quince_platform_meta_codec);
  create_quarantine (parts, settings);
  create_warmup (parts, settings);
  create_observer (parts, settings);
  parts->residency = quince_residency_coordinator_new (parts->name, read_tolerated_losses (settings) + 1,
                                                       parts->store, parts->backends, parts->observer);
  create_batches (parts, settings);
}

/* ---- Files and listening sockets ------------------------------------------ */

static gboolean
load_policy (QuinceReplicaParts *parts, const QuinceSettings *settings, GError **error)
{
  const char *path = quince_settings_get_text (settings, "policy", "file");
  return *path == '\0' || quince_backends_load_policy (parts->backends, path, error);
}

static gboolean
open_ledger (QuinceReplicaParts *parts, const QuinceSettings *settings, GError **error)
{
  guint tolerated_losses = read_tolerated_losses (settings);
  const QuinceLedgerNodeOptions options = {
    .node = parts->name,
    .listen = quince_settings_get_text (settings, "listen", "link"),
    .zone = quince_settings_get_text (settings, "node", "zone"),
    .folder = quince_settings_get_text (settings, "ledger", "folder"),
    .several_regions = quince_topology_count_regions (quince_backends_get_topology (parts->backends)) > 1,
    .may_bootstrap = quince_settings_get_boolean (settings, "ledger", "found"),
    .limits = { .quorum = tolerated_losses + 1,
                .members_max = 2 * tolerated_losses + 1,
                .zone_losses = (guint)quince_settings_get_integer (settings, "ledger", "zone_losses"),
                .leader_timeout_us = LEADER_TIMEOUT_US,
                .member_timeout_us = MEMBER_TIMEOUT_US,
                .lease_duration_us = LEADER_LEASE_US,
                .order_pause_us
                = quince_settings_get_duration_us (settings, "orders", "pause") + ORDER_PAUSE_MARGIN_US },
  };
  parts->ledger
      = quince_ledger_node_new (&options, parts->store, &quince_replica_ledger_callbacks, parts, error);
  if (parts->ledger == NULL)
    return FALSE;
  parts->progress_file = quince_progress_file_open (options.folder, parts->progress, quince_now_us (), error);
  return parts->progress_file != NULL;
}

/* ---- Calls to the platform, made by the leader only ------------------------ */

static double
get_slots_needed (const char *service, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  return quince_batch_service_get_slots_needed (parts->batches, service);
}

static void
create_worker_scaler (QuinceReplicaParts *parts, const char *address)
{
  const QuinceWorkerScalerOptions options = { .holder = parts->name,
                                              .address = address,
                                              .ledger = parts->ledger,
                                              .backends = parts->backends,
                                              .observer = parts->observer,
                                              .get_slots_needed = get_slots_needed };
  parts->scaler = quince_worker_scaler_new (&options, parts);
}

static void
create_usage_collector (QuinceReplicaParts *parts, const QuinceSettings *settings, const char *address)
{
  const QuinceUsageCollectorOptions options
      = { .holder = parts->name,
          .address = address,
          .window_us = quince_settings_get_duration_us (settings, "duties", "usage_window"),
          .late_us = quince_settings_get_duration_us (settings, "duties", "usage_late") };
  parts->usage = quince_usage_collector_new (&options, parts->ledger);
}

static void
create_platform_callers (QuinceReplicaParts *parts, const QuinceSettings *settings)
{
  const char *address = quince_settings_get_text (settings, "duties", "address");
  const char *names = quince_settings_get_text (settings, "duties", "names");
  const char *order_workers = quince_settings_get_text (settings, "duties", "order_workers");
  if (*address == '\0')
    return;
  if (quince_platform_has_scaling_duty (names) && g_str_equal (order_workers, "replace"))
    create_worker_scaler (parts, address);
  if (quince_platform_has_usage_duty (names))
    create_usage_collector (parts, settings, address);
}

/* ---- Connecting ------------------------------------------------------------ */

static void
connect_ledger (QuinceReplicaParts *parts, const QuinceSettings *settings)
{
  gboolean records_orders = quince_settings_get_boolean (settings, "orders", "record");
  parts->order_records = quince_order_records_new (parts->ledger, records_orders);
  parts->progress_copies
      = quince_progress_copies_new (parts->ledger, parts->residency, read_tolerated_losses (settings));
  quince_quarantine_coordinator_set_ledger (parts->quarantine, parts->ledger);
  quince_residency_coordinator_set_ledger (parts->residency, parts->ledger);
  quince_batch_service_set_ledger (parts->batches, parts->ledger, parts->progress_file, parts->residency,
                                   parts->progress_copies, parts->batch_memory);
}

gboolean
quince_replica_setup_open (QuinceReplicaParts *parts, const QuinceSettings *settings, GError **error)
{
  if (!load_policy (parts, settings, error) || !open_ledger (parts, settings, error)
      || !quince_replica_metrics_open (parts, quince_settings_get_text (settings, "listen", "metrics"),
                                       error))
    return FALSE;
  parts->retirement = quince_retirement_new (parts->store, parts->ledger);
  create_platform_callers (parts, settings);
  connect_ledger (parts, settings);
  return TRUE;
}
