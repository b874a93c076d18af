/*
 * cluster.c: starts, finds, restarts and stops the processes of a deployment.
 */
#include "cluster.h"

#include <string.h>

#include <quince/request-id.h>

#include "cluster-parts.h"
#include "cluster-routes.h"
#include "http-sync.h"

#define READY_TIMEOUT_MS 30000
#define STOP_TIMEOUT_MS 15000
#define POLL_US 5000
#define CALL_TIMEOUT_MS 2000

QuinceClusterPart *
quince_cluster_get (QuinceCluster *cluster, QuincePartKind kind, guint index)
{
  for (guint i = 0; i < cluster->parts->len; i++)
    {
      QuinceClusterPart *part = cluster->parts->pdata[i];
      if (part->kind == kind && index-- == 0)
        return part;
    }
  return NULL;
}

guint
quince_cluster_count (QuinceCluster *cluster, QuincePartKind kind)
{
  guint count = 0;
  while (quince_cluster_get (cluster, kind, count) != NULL)
    count++;
  return count;
}

static char *
join_field (QuinceCluster *cluster, QuincePartKind kind, const char *zone, gsize field)
{
  GString *joined = g_string_new (NULL);
  for (guint i = 0; i < cluster->parts->len; i++)
    {
      QuinceClusterPart *part = cluster->parts->pdata[i];
      const char *value = G_STRUCT_MEMBER (char *, part, field);
      if (part->kind != kind || value == NULL || (zone != NULL && !g_str_equal (zone, part->zone)))
        continue;
      g_string_append_printf (joined, "%s%s", joined->len > 0 ? ";" : "", value);
    }
  return g_string_free (joined, FALSE);
}

char *
quince_cluster_join_http (QuinceCluster *cluster, QuincePartKind kind)
{
  return join_field (cluster, kind, NULL, G_STRUCT_OFFSET (QuinceClusterPart, http));
}

char *
quince_cluster_join_routes (QuinceCluster *cluster, QuincePartKind kind)
{
  return join_field (cluster, kind, NULL, G_STRUCT_OFFSET (QuinceClusterPart, route));
}

/* ---- Waiting ------------------------------------------------------------- */

gboolean
quince_cluster_await_status (const char *address, const char *path, guint status, guint timeout_ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  while (quince_http_sync (address, path, NULL, CALL_TIMEOUT_MS, NULL) != status)
    {
      if (g_get_monotonic_time () > end)
        return FALSE;
      g_usleep (POLL_US);
    }
  return TRUE;
}

static gboolean
leads (QuinceClusterPart *node)
{
  g_autoptr (JsonNode) status = NULL;
  if (node->process == NULL || !quince_process_is_running (node->process))
    return FALSE;
  if (quince_http_sync (node->http, "/v1/status", NULL, CALL_TIMEOUT_MS, &status) != 200)
    return FALSE;
  return g_str_equal (quince_json_dig_text (status, "ledger.role", ""), "leader");
}

QuinceClusterPart *
quince_cluster_await_leader (QuinceCluster *cluster, guint timeout_ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  do
    {
      QuinceClusterPart *node;
      for (guint i = 0; (node = quince_cluster_get (cluster, QUINCE_PART_NODE, i)) != NULL; i++)
        if (leads (node))
          return node;
      g_usleep (POLL_US);
    }
  while (g_get_monotonic_time () < end);
  return NULL;
}

/* ---- Starting ------------------------------------------------------------- */

static QuinceClusterPart *
add_part (QuinceCluster *cluster,
          QuincePartKind kind,
          const char *name,
          const char *zone,
          const char *service)
{
  QuinceClusterPart *part = quince_part_new (kind, name, zone, service);
  g_ptr_array_add (cluster->parts, part);
  return part;
}

static gboolean
await_kind (QuinceCluster *cluster, QuincePartKind kind, GError **error)
{
  QuinceClusterPart *part;
  for (guint i = 0; (part = quince_cluster_get (cluster, kind, i)) != NULL; i++)
    if (!quince_part_await (part, error))
      return FALSE;
  return TRUE;
}

static gboolean
start_platform (QuinceCluster *cluster, GError **error)
{
  static const struct
  {
    QuincePartKind kind;
    const char *name;
  } standins[] = { { QUINCE_PART_KV, "kv" },
                   { QUINCE_PART_WEIGHTS, "weights" },
                   { QUINCE_PART_MACHINES, "machines" },
                   { QUINCE_PART_SCORER, "scorer" },
                   { QUINCE_PART_PROXY, "proxy" } };
  for (guint i = 0; i < G_N_ELEMENTS (standins); i++)
    {
      QuinceClusterPart *part = add_part (cluster, standins[i].kind, standins[i].name, "", "");
      quince_part_set_standin_flags (cluster, part, standins[i].name);
      if (!quince_part_spawn (cluster, part, error))
        return FALSE;
    }
  for (guint i = 0; i < G_N_ELEMENTS (standins); i++)
    if (!await_kind (cluster, standins[i].kind, error))
      return FALSE;
  return TRUE;
}

static const QuinceServicePlan *
find_service (QuinceCluster *cluster, const char *name)
{
  for (guint i = 0; i < cluster->deployment->services->len; i++)
    {
      QuinceServicePlan *plan = cluster->deployment->services->pdata[i];
      if (g_str_equal (plan->name, name))
        return plan;
    }
  return NULL;
}

static gboolean
start_engines (QuinceCluster *cluster, GError **error)
{
  QuinceDeployment *deployment = cluster->deployment;
  guint place = 0;
  for (guint i = 0; i < deployment->services->len; i++)
    {
      const QuinceServicePlan *plan = deployment->services->pdata[i];
      for (guint j = 0; j < plan->workers; j++)
        {
          const QuinceZonePlan *zone = deployment->zones->pdata[place++ % deployment->zones->len];
          g_autofree char *name = g_strdup_printf ("%s-%u", plan->name, j);
          QuinceClusterPart *part = add_part (cluster, QUINCE_PART_ENGINE, name, zone->name, plan->name);
          quince_part_set_engine_flags (cluster, part, plan);
          if (!quince_part_spawn (cluster, part, error))
            return FALSE;
        }
    }
  return await_kind (cluster, QUINCE_PART_ENGINE, error);
}

static void
describe_engine (JsonBuilder *builder, const QuinceClusterPart *engine)
{
  json_builder_begin_object (builder);
  const char *pairs[][2]
      = { { "name", engine->name }, { "kind", "engine" },         { "service", engine->service },
          { "zone", engine->zone }, { "address", engine->route }, { "state", "live" } };
  for (guint i = 0; i < G_N_ELEMENTS (pairs); i++)
    {
      json_builder_set_member_name (builder, pairs[i][0]);
      json_builder_add_string_value (builder, pairs[i][1]);
    }
  json_builder_end_object (builder);
}

static gboolean
list_engines (QuinceCluster *cluster, GError **error)
{
  QuinceClusterPart *engine;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "machines");
  json_builder_begin_array (builder);
  for (guint i = 0; (engine = quince_cluster_get (cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    {
      if (!quince_part_add_routes (cluster, engine, cluster->deployment->client_latency_us))
        engine->route = g_strdup (engine->http);
      quince_part_point_routes (cluster, engine);
      describe_engine (builder, engine);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  g_autofree char *body = json_to_string (root, FALSE);
  QuinceClusterPart *machines = quince_cluster_get (cluster, QUINCE_PART_MACHINES, 0);
  if (quince_http_sync (machines->http, "/machines", body, CALL_TIMEOUT_MS, NULL) == 200)
    return TRUE;
  g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_START,
                       "machine list did not take the engines");
  return FALSE;
}

static QuinceClusterPart *
start_node (QuinceCluster *cluster,
            const char *name,
            const char *zone,
            const char *seeds,
            gboolean ledger,
            GError **error)
{
  QuinceClusterPart *part = add_part (cluster, QUINCE_PART_NODE, name, zone, "");
  quince_part_add_routes (cluster, part, cluster->deployment->zone_latency_us);
  quince_part_set_node_flags (cluster, part, seeds, ledger);
  if (!quince_part_spawn (cluster, part, error) || !quince_part_await (part, error))
    return NULL;
  quince_part_point_routes (cluster, part);
  return part;
}

static char *
join_seeds (QuinceCluster *cluster)
{
  return join_field (cluster, QUINCE_PART_NODE, NULL, G_STRUCT_OFFSET (QuinceClusterPart, gossip_route));
}

QuinceClusterPart *
quince_cluster_add_node (QuinceCluster *cluster, const char *zone, gboolean seeds, GError **error)
{
  g_autofree char *name
      = g_strdup_printf ("%s-more-%u", zone, quince_cluster_count (cluster, QUINCE_PART_NODE));
  g_autofree char *joined = seeds ? join_seeds (cluster) : g_strdup ("");
  return start_node (cluster, name, zone, joined, FALSE, error);
}

static gboolean
start_planned_node (QuinceCluster *cluster, const QuinceZonePlan *zone, guint index, GError **error)
{
  g_autofree char *name = g_strdup_printf ("%s-node-%u", zone->name, index);
  g_autofree char *seeds = join_seeds (cluster);
  return start_node (cluster, name, zone->name, seeds, zone->ledger && index == 0, error) != NULL;
}

static gboolean
start_nodes (QuinceCluster *cluster, GError **error)
{
  for (guint i = 0; i < cluster->deployment->zones->len; i++)
    {
      const QuinceZonePlan *zone = cluster->deployment->zones->pdata[i];
      for (guint j = 0; j < zone->nodes; j++)
        if (!start_planned_node (cluster, zone, j, error))
          return FALSE;
    }
  return TRUE;
}

QuinceClusterPart *
quince_cluster_add_agent (QuinceCluster *cluster, const char *zone, GError **error)
{
  g_autofree char *name
      = g_strdup_printf ("%s-agent-%u", zone, quince_cluster_count (cluster, QUINCE_PART_AGENT));
  g_autofree char *nodes
      = join_field (cluster, QUINCE_PART_NODE, zone, G_STRUCT_OFFSET (QuinceClusterPart, route));
  QuinceClusterPart *part = add_part (cluster, QUINCE_PART_AGENT, name, zone, "");
  quince_part_set_agent_flags (cluster, part, nodes);
  if (!quince_part_spawn (cluster, part, error) || !quince_part_await (part, error))
    return NULL;
  /* Trainers call agents through the proxy; callers stand beside theirs. */
  if (!quince_part_add_routes (cluster, part, 0))
    part->route = g_strdup (part->http);
  quince_part_point_routes (cluster, part);
  return part;
}

QuinceClusterPart *
quince_cluster_add_trainer (QuinceCluster *cluster, const QuinceTrainerPlan *plan, GError **error)
{
  QuinceClusterPart *part = add_part (cluster, QUINCE_PART_TRAINER, plan->name, "", plan->service);
  quince_part_set_trainer_flags (cluster, part, plan);
  if (!quince_part_spawn (cluster, part, error) || !quince_part_await (part, error))
    return NULL;
  return part;
}

static gboolean
start_agents (QuinceCluster *cluster, GError **error)
{
  for (guint i = 0; i < cluster->deployment->zones->len; i++)
    {
      const QuinceZonePlan *zone = cluster->deployment->zones->pdata[i];
      for (guint j = 0; j < zone->agents; j++)
        if (quince_cluster_add_agent (cluster, zone->name, error) == NULL)
          return FALSE;
    }
  return TRUE;
}

static gboolean
await_serving (QuinceCluster *cluster, GError **error)
{
  if (quince_cluster_count (cluster, QUINCE_PART_NODE) == 0)
    return TRUE; /* engines and the platform alone */
  gboolean serving = quince_cluster_await_leader (cluster, READY_TIMEOUT_MS) != NULL;
  for (guint i = 0; serving && i < cluster->parts->len; i++)
    {
      QuinceClusterPart *part = cluster->parts->pdata[i];
      if (part->kind == QUINCE_PART_AGENT || part->kind == QUINCE_PART_NODE)
        serving = quince_cluster_await_status (part->http, "/readyz", 200, READY_TIMEOUT_MS);
    }
  if (!serving)
    g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_TIMEOUT,
                         "the deployment does not serve");
  return serving;
}

QuinceCluster *
quince_cluster_start (const char *build_folder,
                      const char *folder,
                      QuinceDeployment *deployment,
                      GError **error)
{
  g_autoptr (QuinceCluster) cluster = g_new0 (QuinceCluster, 1);
  cluster->build_folder = g_strdup (build_folder);
  cluster->folder = g_strdup (folder);
  cluster->identity
      = g_strdup_printf ("%s-%016" G_GINT64_MODIFIER "x", deployment->name, quince_random_u64 ());
  cluster->deployment = deployment;
  cluster->parts = g_ptr_array_new_with_free_func (quince_part_free);
  g_mkdir_with_parents (folder, 0755);
  if (!start_platform (cluster, error) || !start_engines (cluster, error) || !list_engines (cluster, error)
      || !start_nodes (cluster, error) || !start_agents (cluster, error) || !await_serving (cluster, error))
    return NULL;
  return g_steal_pointer (&cluster);
}

gboolean
quince_cluster_restart (QuinceCluster *cluster, QuinceClusterPart *part, GError **error)
{
  g_autofree char *others = NULL;
  switch (part->kind)
    {
    case QUINCE_PART_NODE:
      others
          = join_field (cluster, QUINCE_PART_NODE, NULL, G_STRUCT_OFFSET (QuinceClusterPart, gossip_route));
      quince_part_set_node_flags (cluster, part, others, part->data_folder != NULL);
      break;
    case QUINCE_PART_AGENT:
      others = join_field (cluster, QUINCE_PART_NODE, part->zone, G_STRUCT_OFFSET (QuinceClusterPart, route));
      quince_part_set_agent_flags (cluster, part, others);
      break;
    case QUINCE_PART_ENGINE:
      quince_part_set_engine_flags (cluster, part, find_service (cluster, part->service));
      break;
    default:
      quince_part_set_standin_flags (cluster, part, part->name);
      break;
    }
  if (!quince_part_spawn (cluster, part, error) || !quince_part_await (part, error))
    return FALSE;
  quince_part_point_routes (cluster, part);
  return TRUE;
}

char *
quince_cluster_make_records_path (QuinceCluster *cluster, const QuinceClusterPart *engine, guint start)
{
  g_autofree char *name = g_strdup_printf ("%s-%u.records", engine->name, start);
  return g_build_filename (cluster->folder, name, NULL);
}

gboolean
quince_cluster_crash_engine (QuinceClusterPart *engine)
{
  /* The process ends before it answers. */
  quince_http_sync (engine->control, "/_faults", "{\"crash_exit\":true}", CALL_TIMEOUT_MS, NULL);
  int status; /* taken: it is not that of a planned stop */
  return quince_process_wait (engine->process, CALL_TIMEOUT_MS, &status);
}

/* ---- Operating and stopping ---------------------------------------------- */

int
quince_cluster_operate (QuinceCluster *cluster, const char *const *arguments, char **output)
{
  g_autofree char *program = g_build_filename (cluster->build_folder, "tools", "quinceroute", NULL);
  g_autofree char *nodes = quince_cluster_join_http (cluster, QUINCE_PART_NODE);
  QuinceClusterPart *kv = quince_cluster_get (cluster, QUINCE_PART_KV, 0);
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  const char *const flags[] = { program, "--kv", kv->http, "--node", nodes };
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    g_ptr_array_add (all, (gpointer)flags[i]);
  for (; *arguments != NULL; arguments++)
    g_ptr_array_add (all, (gpointer)*arguments);
  g_ptr_array_add (all, NULL);
  g_autoptr (QuinceProcess) process
      = quince_process_spawn (cluster->folder, "operator", (const char *const *)all->pdata, NULL);
  int status = -1;
  if (process == NULL || !quince_process_wait (process, READY_TIMEOUT_MS, &status))
    return -1;
  if (output != NULL)
    *output = quince_process_read_output (process);
  return status;
}

static void
stop_kind (QuinceCluster *cluster, QuincePartKind kind)
{
  QuinceClusterPart *part;
  for (guint i = 0; (part = quince_cluster_get (cluster, kind, i)) != NULL; i++)
    if (part->process != NULL)
      {
        quince_process_thaw (part->process);
        quince_process_stop (part->process);
      }
  for (guint i = 0; (part = quince_cluster_get (cluster, kind, i)) != NULL; i++)
    if (part->process != NULL)
      quince_process_wait (part->process, STOP_TIMEOUT_MS, NULL);
}

void
quince_cluster_free (QuinceCluster *cluster)
{
  static const QuincePartKind order[]
      = { QUINCE_PART_TRAINER, QUINCE_PART_AGENT, QUINCE_PART_NODE,    QUINCE_PART_ENGINE,  QUINCE_PART_PROXY,
          QUINCE_PART_SCORER,  QUINCE_PART_KV,    QUINCE_PART_WEIGHTS, QUINCE_PART_MACHINES };
  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    stop_kind (cluster, order[i]);
  g_ptr_array_unref (cluster->parts);
  quince_deployment_free (cluster->deployment);
  g_free (cluster->build_folder);
  g_free (cluster->folder);
  g_free (cluster->identity);
  g_free (cluster);
}
