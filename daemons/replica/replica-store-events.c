/*
 * replica-store-events.c: dispatches events of the observer to the other parts of the replica.
 */
#include "replica-store-events.h"

#include <string.h>

#include "observer/store-feed.h"

#include "replica-leadership.h"

gboolean
quince_replica_is_reserve_reader (const QuinceReplicaParts *parts)
{
  return quince_ledger_view_has_node (quince_ledger_node_get_view (parts->ledger), parts->name);
}

static void
handle_own_key (const char *key, GBytes *value, guint64 revision, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  if (g_str_equal (key, QUINCE_LEDGER_KEY) && parts->ledger != NULL)
    {
      quince_ledger_node_set_view (parts->ledger, value, revision);
      quince_member_feed_wait_check (parts->member_feed_wait, parts->ledger);
    }
  else if (g_str_has_prefix (key, QUINCE_FRONTS_PREFIX))
    quince_heartbeats_set_listed (parts->heartbeats, key + strlen (QUINCE_FRONTS_PREFIX), value != NULL);
  else if (g_str_has_prefix (key, QUINCE_MACHINE_ZONES_PREFIX))
    quince_residency_coordinator_apply_zone_entry (parts->residency,
                                                   key + strlen (QUINCE_MACHINE_ZONES_PREFIX), value);
  else if (g_str_has_prefix (key, QUINCE_QUARANTINE_PREFIX))
    quince_quarantine_coordinator_apply_entry (parts->quarantine, key + strlen (QUINCE_QUARANTINE_PREFIX),
                                               value);
  else if (g_str_has_prefix (key, QUINCE_SUSPECTS_PREFIX))
    quince_quarantine_coordinator_merge_list (parts->quarantine, key + strlen (QUINCE_SUSPECTS_PREFIX),
                                              value);
}

static void
handle_version (const char *model, guint64 version, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_replica_leadership_check_orders (parts->leadership);
}

static void
handle_draining_changed (const char *const *nodes, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_retirement_set_nodes (parts->retirement, nodes);
  quince_residency_coordinator_set_draining_nodes (parts->residency, nodes);
}

/* Workers of evacuated zones were removed or came back, so weight loads and samples are checked again. */
static void
handle_zones_changed (gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_replica_leadership_check_orders (parts->leadership);
  if (parts->batches != NULL)
    quince_batch_service_check_samples (parts->batches);
}

static void
handle_store_read (const char *prefix, const QuinceMetaPage *page, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  QuinceLink *leader = parts->ledger != NULL ? quince_ledger_node_get_leader_link (parts->ledger) : NULL;
  if (parts->feed != NULL)
    quince_feed_service_publish (parts->feed, prefix, page);
  if (!quince_replica_leadership_is_active (parts->leadership) && leader != NULL
      && quince_replica_is_reserve_reader (parts))
    quince_store_feed_report (parts->observer, leader, prefix, page);
}

const QuinceObserverCallbacks quince_replica_store_callbacks = { .own_key = handle_own_key,
                                                                 .version = handle_version,
                                                                 .draining_nodes = handle_draining_changed,
                                                                 .zones = handle_zones_changed,
                                                                 .read = handle_store_read };
