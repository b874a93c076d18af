/*
 * residency-coordinator.c: decides which machines may store the ledger's records.
 */
#include "residency-coordinator.h"

#include <string.h>

#include "core/batches/batch-table.h"
#include "runtime/log.h"
#include "core/routing/machine-zones.h"
#include "runtime/metrics.h"
#include "forward/residency-lookup.h"
#include "runtime/clock.h"

/* Minimum interval between attempts to write the zone of this machine, and between removals of zones, us.
 * Limits the calls while the store is unavailable. */
#define ZONE_WRITE_INTERVAL_MIN_US (2 * G_USEC_PER_SEC)
/* Minimum interval between log lines about ledger members that are not allowed nodes, us.  Such a state lasts
 * for minutes. */
#define UNMET_LOG_INTERVAL_US (5 * G_USEC_PER_SEC)

struct _QuinceResidencyCoordinator
{
  /* All fields belong to the main context. */
  char *name;
  guint quorum;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  const QuinceTopology *topology;
  QuinceMachineZones *zones;
  QuinceLedgerNode *ledger;
  gboolean several_regions;    /* the topology has more than one region */
  gboolean zone_written;       /* the store has the current zone of this machine */
  gint64 next_zone_write_us;   /* monotonic: earliest time of the next write of the zone */
  char **draining;             /* (nullable): names of draining machines */
  gint64 next_zone_removal_us; /* monotonic: earliest time of the next removal */
  char **allowed_nodes;        /* machines that may store the ledger's records; NULL: all */
  gint64 last_unmet_log_us;
  GHashTable *admitted; /* batch id to AdmittedBatch, both owned: not in the ledger's entries yet */
};

typedef struct
{
  char *host;
  char *path;
  char *tenant;
} AdmittedBatch;

static void
admitted_batch_free (gpointer data)
{
  AdmittedBatch *admitted = data;
  g_free (admitted->host);
  g_free (admitted->path);
  g_free (admitted->tenant);
  g_free (admitted);
}

/* ---- Zones of machines ---------------------------------------------------- */

static void
zone_write_ended (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceResidencyCoordinator *coordinator = data;
  coordinator->zone_written = error == NULL;
  if (error != NULL)
    quince_log_warning ("place_not_written", "node=%s code=%d", coordinator->name, error->code);
}

static gboolean
is_draining_node (const QuinceResidencyCoordinator *coordinator, const char *node)
{
  return coordinator->draining != NULL && g_strv_contains ((const char *const *)coordinator->draining, node);
}

static void
write_zone (QuinceResidencyCoordinator *coordinator, gint64 now_us)
{
  if (!coordinator->several_regions || coordinator->zone_written || now_us < coordinator->next_zone_write_us
      || is_draining_node (coordinator, coordinator->name)
      || !quince_observer_is_synced (coordinator->observer)
      || quince_meta_store_is_failing (coordinator->store))
    return;
  coordinator->next_zone_write_us = now_us + ZONE_WRITE_INTERVAL_MIN_US;
  const char *zone = quince_topology_get_own_zone (coordinator->topology);
  g_autofree char *key = g_strconcat (QUINCE_MACHINE_ZONES_PREFIX, coordinator->name, NULL);
  g_autoptr (GBytes) value = g_bytes_new (zone, strlen (zone));
  const QuinceMetaChange change = { .key = key, .expected_revision = -1, .value = value };
  quince_meta_store_change (coordinator->store, &change, 1, zone_write_ended, coordinator);
}

void
quince_residency_coordinator_apply_zone_entry (QuinceResidencyCoordinator *coordinator,
                                               const char *node,
                                               GBytes *value)
{
  g_autofree char *zone
      = value != NULL ? g_strndup (g_bytes_get_data (value, NULL), g_bytes_get_size (value)) : NULL;
  if (g_str_equal (node, coordinator->name))
    coordinator->zone_written = g_strcmp0 (zone, quince_topology_get_own_zone (coordinator->topology)) == 0;
  else
    quince_machine_zones_set (coordinator->zones, node, zone);
}

static void
zone_removed (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  if (error != NULL)
    quince_log_warning ("place_not_removed", "code=%d", error->code);
}

/* Removes the zone of a drained machine from the store, so that it may no longer store restricted batches.
 * Removes one zone at a time: the store usually reports the removal before the next one is due. */
static void
remove_zone (QuinceResidencyCoordinator *coordinator, gint64 now_us)
{
  const QuinceLedgerView *view = quince_ledger_node_get_view (coordinator->ledger);
  if (now_us < coordinator->next_zone_removal_us || view == NULL
      || quince_meta_store_is_failing (coordinator->store))
    return;
  for (char **node = coordinator->draining; node != NULL && *node != NULL; node++)
    {
      if (g_str_equal (*node, coordinator->name) || quince_ledger_view_has_node (view, *node)
          || quince_machine_zones_get_zone (coordinator->zones, *node) == NULL)
        continue;
      coordinator->next_zone_removal_us = now_us + ZONE_WRITE_INTERVAL_MIN_US;
      g_autofree char *key = g_strconcat (QUINCE_MACHINE_ZONES_PREFIX, *node, NULL);
      const QuinceMetaChange change = { .key = key, .expected_revision = -1 };
      quince_meta_store_change (coordinator->store, &change, 1, zone_removed, coordinator);
      return;
    }
}

void
quince_residency_coordinator_set_draining_nodes (QuinceResidencyCoordinator *coordinator,
                                                 const char *const *nodes)
{
  g_strfreev (coordinator->draining);
  coordinator->draining = g_strdupv ((char **)nodes);
}

/* ---- Residency of batches ------------------------------------------------- */

static void
get_residency (QuinceResidencyCoordinator *coordinator,
               const char *host,
               const char *path,
               const char *tenant,
               QuinceResidency *residency)
{
  *residency = (QuinceResidency){ NULL, NULL };
  QuinceRouteTable *table = quince_observer_get_routes (coordinator->observer);
  if (table == NULL || !quince_backends_has_region_rules (coordinator->backends))
    return;
  const QuinceRoute *route = quince_route_table_find (table, host, path);
  const QuinceTenantTable *tenants = quince_route_table_get_tenants (table);
  const QuinceTenant *tenant_settings = tenants != NULL ? quince_tenant_table_find (tenants, tenant) : NULL;
  if (route != NULL)
    quince_route_get_residency (route, tenant_settings, residency);
  else if (tenant_settings != NULL)
    residency->tenant_regions = (const char *const *)tenant_settings->regions;
}

static void
add_restriction (GArray *restrictions, const QuinceResidency *residency)
{
  if (!quince_residency_is_unrestricted (residency))
    g_array_append_val (restrictions, *residency);
}

/* Returns (transfer full) (element-type QuinceResidency): restrictions of all rollout routes and tenants */
static GArray *
collect_configured_residencies (QuinceResidencyCoordinator *coordinator)
{
  GArray *restrictions = g_array_new (FALSE, FALSE, sizeof (QuinceResidency));
  const QuinceRouteTable *table = quince_observer_get_routes (coordinator->observer);
  for (guint i = 0; table != NULL && i < quince_route_table_get_n_routes (table); i++)
    {
      const QuinceRoute *route = quince_route_table_get_route (table, i);
      QuinceResidency residency;
      quince_route_get_residency (route, NULL, &residency);
      if (route->kind == QUINCE_ROUTE_ROLLOUT)
        add_restriction (restrictions, &residency);
    }
  const QuinceTenantTable *tenants = table != NULL ? quince_route_table_get_tenants (table) : NULL;
  g_autoptr (GPtrArray) all = tenants != NULL ? quince_tenant_table_list (tenants) : g_ptr_array_new ();
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceTenant *tenant = all->pdata[i];
      const QuinceResidency residency = { .tenant_regions = (const char *const *)tenant->regions };
      add_restriction (restrictions, &residency);
    }
  return restrictions;
}

/* Returns (transfer full) (element-type QuinceResidency): the restrictions of the batches in @entries and of
 * the admitted batches */
static GArray *
collect_batch_residencies (QuinceResidencyCoordinator *coordinator, const GPtrArray *entries)
{
  GArray *restrictions = g_array_new (FALSE, FALSE, sizeof (QuinceResidency));
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceBatchEntry *entry = entries->pdata[i];
      QuinceResidency residency;
      get_residency (coordinator, entry->batch->host, entry->batch->path, entry->tenant, &residency);
      add_restriction (restrictions, &residency);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, coordinator->admitted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const AdmittedBatch *admitted = value;
      QuinceResidency residency;
      get_residency (coordinator, admitted->host, admitted->path, admitted->tenant, &residency);
      add_restriction (restrictions, &residency);
    }
  return restrictions;
}

/* ---- Allowed nodes of the ledger ------------------------------------------- */

static GPtrArray *
list_allowed_machines (QuinceResidencyCoordinator *coordinator, const GArray *restrictions)
{
  return quince_machine_zones_list_allowed (coordinator->zones, (const QuinceResidency *)restrictions->data,
                                            restrictions->len);
}

static void
set_allowed_nodes (QuinceResidencyCoordinator *coordinator, const GPtrArray *nodes)
{
  g_auto (GStrv) names = NULL;
  if (nodes != NULL)
    {
      names = g_new0 (char *, nodes->len + 1);
      for (guint i = 0; i < nodes->len; i++)
        names[i] = g_strdup (nodes->pdata[i]);
    }
  gboolean unchanged
      = (names == NULL) == (coordinator->allowed_nodes == NULL)
        && (names == NULL
            || g_strv_equal ((const char *const *)names, (const char *const *)coordinator->allowed_nodes));
  if (!unchanged)
    {
      g_autofree char *text = names != NULL ? g_strjoinv (",", names) : g_strdup ("all");
      quince_log_notice ("ledger_confined", "nodes=%s", text);
      g_strfreev (coordinator->allowed_nodes);
      coordinator->allowed_nodes = g_steal_pointer (&names);
    }
  /* Also needed without a change: a new leader sends records only to members until this call. */
  quince_ledger_node_set_allowed_nodes (coordinator->ledger, (const char *const *)coordinator->allowed_nodes);
}

/* Allows the machines that may store batches of all configured routes and tenants.  If the configuration
 * restricts nothing, or fewer machines than the quorum qualify, allows the machines that may store the
 * current batches instead, or all machines if no batch is restricted. */
static void
update_allowed_nodes (QuinceResidencyCoordinator *coordinator, const GPtrArray *entries)
{
  if (!quince_backends_has_region_rules (coordinator->backends))
    {
      set_allowed_nodes (coordinator, NULL);
      return;
    }
  g_autoptr (GArray) configured_residencies = collect_configured_residencies (coordinator);
  g_autoptr (GArray) batch_residencies = collect_batch_residencies (coordinator, entries);
  g_autoptr (GPtrArray) machines_for_configured = list_allowed_machines (coordinator, configured_residencies);
  g_autoptr (GPtrArray) machines_for_batches = list_allowed_machines (coordinator, batch_residencies);
  if (configured_residencies->len > 0 && machines_for_configured->len >= coordinator->quorum)
    set_allowed_nodes (coordinator, machines_for_configured);
  else
    set_allowed_nodes (coordinator, batch_residencies->len > 0 ? machines_for_batches : NULL);
}

/* Counts and logs the ledger members that are not allowed nodes.  They remain members while too few allowed
 * machines can replace them. */
static void
report_disallowed_members (QuinceResidencyCoordinator *coordinator, gint64 now_us)
{
  const QuinceLedgerView *view = quince_ledger_node_get_view (coordinator->ledger);
  g_autoptr (GString) names = g_string_new (NULL);
  guint n_disallowed = 0;
  for (guint i = 0; view != NULL && coordinator->allowed_nodes != NULL && i < view->members.members_len; i++)
    if (!g_strv_contains ((const char *const *)coordinator->allowed_nodes, view->members.members_val[i].node))
      g_string_append_printf (names, "%s%s", n_disallowed++ > 0 ? "," : "",
                              view->members.members_val[i].node);
  quince_metric_set ("quince_replica_members_outside", "", n_disallowed);
  if (names->len == 0 || now_us - coordinator->last_unmet_log_us < UNMET_LOG_INTERVAL_US)
    return;
  coordinator->last_unmet_log_us = now_us;
  quince_log_warning ("residency_unmet", "nodes=%s", names->str);
}

void
quince_residency_coordinator_step (QuinceResidencyCoordinator *coordinator, const GPtrArray *entries)
{
  gint64 now = quince_now_us ();
  write_zone (coordinator, now);
  if (coordinator->several_regions && entries == NULL)
    quince_metric_set ("quince_replica_members_outside", "", 0); /* only the leader counts them */
  if (!coordinator->several_regions || entries == NULL
      || quince_observer_get_routes (coordinator->observer) == NULL)
    return; /* not the leader, or the routes are not known yet: the allowed nodes stay */
  remove_zone (coordinator, now);
  update_allowed_nodes (coordinator, entries);
  report_disallowed_members (coordinator, now);
}

gboolean
quince_residency_coordinator_admit (QuinceResidencyCoordinator *coordinator,
                                    const GPtrArray *entries,
                                    const char *id,
                                    const char *host,
                                    const char *path,
                                    const char *tenant)
{
  if (coordinator->several_regions && quince_observer_get_routes (coordinator->observer) == NULL)
    return FALSE; /* the routes are not known yet */
  QuinceResidency residency;
  get_residency (coordinator, host, path, tenant, &residency);
  if (quince_residency_is_unrestricted (&residency))
    return TRUE;
  const QuinceLedgerView *view = quince_ledger_node_get_view (coordinator->ledger);
  for (guint i = 0; i < view->members.members_len; i++)
    if (!quince_machine_zones_is_allowed (coordinator->zones, &residency, view->members.members_val[i].node))
      return FALSE;
  if (!coordinator->several_regions)
    return TRUE;
  AdmittedBatch *admitted = g_new0 (AdmittedBatch, 1);
  admitted->host = g_strdup (host);
  admitted->path = g_strdup (path);
  admitted->tenant = g_strdup (tenant);
  g_hash_table_replace (coordinator->admitted, g_strdup (id), admitted);
  update_allowed_nodes (coordinator, entries);
  return TRUE;
}

void
quince_residency_coordinator_remove_admitted (QuinceResidencyCoordinator *coordinator, const char *id)
{
  if (id != NULL)
    g_hash_table_remove (coordinator->admitted, id);
  else
    g_hash_table_remove_all (coordinator->admitted);
}

gboolean
quince_residency_coordinator_is_allowed (QuinceResidencyCoordinator *coordinator,
                                         const char *node,
                                         const char *host,
                                         const char *path,
                                         const char *tenant)
{
  QuinceResidency residency;
  get_residency (coordinator, host, path, tenant, &residency);
  return quince_machine_zones_is_allowed (coordinator->zones, &residency, node);
}

/* ---- Public --------------------------------------------------------------- */

QuinceResidencyCoordinator *
quince_residency_coordinator_new (const char *name,
                                  guint quorum,
                                  QuinceMetaStore *store,
                                  QuinceBackends *backends,
                                  QuinceObserver *observer)
{
  QuinceResidencyCoordinator *coordinator = g_new0 (QuinceResidencyCoordinator, 1);
  coordinator->name = g_strdup (name);
  coordinator->quorum = quorum;
  coordinator->store = store;
  coordinator->backends = backends;
  coordinator->observer = observer;
  coordinator->topology = quince_backends_get_topology (backends);
  coordinator->several_regions = quince_topology_count_regions (coordinator->topology) > 1;
  coordinator->zones = quince_machine_zones_new (coordinator->topology);
  coordinator->admitted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, admitted_batch_free);
  quince_machine_zones_set (coordinator->zones, name, quince_topology_get_own_zone (coordinator->topology));
  return coordinator;
}

void
quince_residency_coordinator_set_ledger (QuinceResidencyCoordinator *coordinator, QuinceLedgerNode *ledger)
{
  coordinator->ledger = ledger;
}

void
quince_residency_coordinator_free (QuinceResidencyCoordinator *coordinator)
{
  if (coordinator == NULL)
    return;
  quince_machine_zones_free (coordinator->zones);
  g_hash_table_unref (coordinator->admitted);
  g_strfreev (coordinator->allowed_nodes);
  g_strfreev (coordinator->draining);
  g_free (coordinator->name);
  g_free (coordinator);
}
