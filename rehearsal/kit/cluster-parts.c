/*
 * cluster-parts.c: flags of each kind of process of a cluster.
 */
#include "cluster-parts.h"

#include <string.h>

#define ANY_PORT "127.0.0.1:0"
#define VOTERS_MOST 3

QuinceClusterPart *
quince_part_new (QuincePartKind kind, const char *name, const char *zone, const char *service)
{
  QuinceClusterPart *part = g_new0 (QuinceClusterPart, 1);
  part->kind = kind;
  part->name = g_strdup (name);
  part->zone = g_strdup (zone);
  part->service = g_strdup (service);
  part->arguments = g_ptr_array_new_with_free_func (g_free);
  part->route_number = -1;
  part->gossip_route_number = -1;
  part->kv_route_number = -1;
  return part;
}

void
quince_part_free (gpointer data)
{
  QuinceClusterPart *part = data;
  g_clear_pointer (&part->process, quince_process_free);
  g_ptr_array_unref (part->arguments);
  g_free (part->name);
  g_free (part->zone);
  g_free (part->service);
  g_free (part->data_folder);
  g_free (part->http);
  g_free (part->control);
  g_free (part->address);
  g_free (part->gossip);
  g_free (part->route);
  g_free (part->gossip_route);
  g_free (part->kv_route);
  g_free (part);
}

/* ---- Flags -------------------------------------------------------------- */

static void
add (QuinceClusterPart *part, const char *argument)
{
  g_ptr_array_add (part->arguments, g_strdup (argument));
}

static void
add_pair (QuinceClusterPart *part, const char *flag, const char *value)
{
  add (part, flag);
  add (part, value);
}

static void
add_number (QuinceClusterPart *part, const char *flag, guint64 value)
{
  add (part, flag);
  g_ptr_array_add (part->arguments, g_strdup_printf ("%" G_GUINT64_FORMAT, value));
}

static void
add_setting (QuinceClusterPart *part, const char *name, const char *value)
{
  add (part, "--set");
  g_ptr_array_add (part->arguments, g_strconcat (name, "=", value, NULL));
}

static void
begin (QuinceCluster *cluster, QuinceClusterPart *part, const char *program)
{
  g_ptr_array_set_size (part->arguments, 0);
  g_ptr_array_add (part->arguments, g_build_filename (cluster->build_folder, program, NULL));
}

/* Address of the first start when there was one. */
static const char *
or_any_port (const char *address)
{
  return address != NULL ? address : ANY_PORT;
}

static const char *
get_http (QuinceCluster *cluster, QuincePartKind kind)
{
  QuinceClusterPart *part = quince_cluster_get (cluster, kind, 0);
  return part != NULL && part->http != NULL ? part->http : "";
}

void
quince_part_set_standin_flags (QuinceCluster *cluster, QuinceClusterPart *part, const char *subcommand)
{
  begin (cluster, part, "rehearsal/quinceroute-rehearsal");
  add (part, subcommand);
  if (part->kind == QUINCE_PART_PROXY)
    {
      add_pair (part, "--control", or_any_port (part->control));
      return;
    }
  add_pair (part, "--listen", or_any_port (part->http));
  add_pair (part, "--control", or_any_port (part->control));
  add_pair (part, "--name", part->name);
  if (part->kind != QUINCE_PART_KV)
    return;
  g_autofree char *state = g_build_filename (cluster->folder, "kv.state", NULL);
  add_pair (part, "--state", state);
}

void
quince_part_set_engine_flags (QuinceCluster *cluster, QuinceClusterPart *part, const QuinceServicePlan *plan)
{
  quince_part_set_standin_flags (cluster, part, "engine");
  add_pair (part, "--zone", part->zone);
  add_pair (part, "--service", part->service);
  add_pair (part, "--weights", get_http (cluster, QUINCE_PART_WEIGHTS));
  add_number (part, "--capacity", plan->capacity);
  add_number (part, "--token-us", plan->token_us);
  add_number (part, "--prefill-us-per-token", plan->prefill_us);
  add_number (part, "--swap-ms", plan->swap_ms);
  add_number (part, "--cache-blocks", plan->cache_blocks);
  g_autofree char *records = quince_cluster_make_records_path (cluster, part, part->starts);
  add_pair (part, "--records-file", records);
}

/* Voters stand in different zones. */
static guint
count_voters (const QuinceDeployment *deployment)
{
  guint zones = 0;
  for (guint i = 0; i < deployment->zones->len; i++)
    zones += ((QuinceZonePlan *)deployment->zones->pdata[i])->ledger ? 1 : 0;
  return MIN (zones, VOTERS_MOST);
}

void
quince_part_set_node_flags (QuinceCluster *cluster,
                            QuinceClusterPart *part,
                            const char *seeds,
                            gboolean ledger)
{
  begin (cluster, part, "daemons/quinceroute-node");
  add_setting (part, "node.name", part->name);
  add_setting (part, "node.zone", part->zone);
  add_setting (part, "node.deployment", cluster->identity);
  add_setting (part, "node.listen", or_any_port (part->address));
  add_setting (part, "node.gossip", or_any_port (part->gossip));
  add_setting (part, "node.http", or_any_port (part->http));
  add_setting (part, "node.seeds", seeds);
  if (part->route != NULL && part->gossip_route != NULL)
    {
      add_setting (part, "node.advertise", part->route);
      add_setting (part, "node.gossip_advertise", part->gossip_route);
    }
  add_setting (part, "platform.kv",
               part->kv_route != NULL ? part->kv_route : get_http (cluster, QUINCE_PART_KV));
  add_setting (part, "platform.machines", get_http (cluster, QUINCE_PART_MACHINES));
  add_setting (part, "platform.weights", get_http (cluster, QUINCE_PART_WEIGHTS));
  if (!ledger)
    return;
  if (part->data_folder == NULL)
    part->data_folder = g_build_filename (cluster->folder, "data", part->name, NULL);
  add_setting (part, "ledger.folder", part->data_folder);
  g_autofree char *voters = g_strdup_printf ("%u", count_voters (cluster->deployment));
  add_setting (part, "ledger.voters", voters);
}

void
quince_part_set_agent_flags (QuinceCluster *cluster, QuinceClusterPart *part, const char *nodes)
{
  begin (cluster, part, "daemons/quinceroute-agent");
  add_setting (part, "agent.name", part->name);
  add_setting (part, "agent.zone", part->zone);
  add_setting (part, "agent.deployment", cluster->identity);
  add_setting (part, "agent.listen", or_any_port (part->http));
  add_setting (part, "agent.nodes", nodes);
  add_setting (part, "agent.scorer", get_http (cluster, QUINCE_PART_SCORER));
  add_setting (part, "agent.run_samples", "true");
  g_autofree char *lease = g_strdup_printf ("%" G_GUINT64_FORMAT "ms", cluster->deployment->sample_lease_ms);
  add_setting (part, "agent.sample_lease", lease);
}

void
quince_part_set_trainer_flags (QuinceCluster *cluster, QuinceClusterPart *part, const QuinceTrainerPlan *plan)
{
  quince_part_set_standin_flags (cluster, part, "trainer");
  g_autofree char *agents = quince_cluster_join_routes (cluster, QUINCE_PART_AGENT);
  g_autofree char *tail = g_strdup_printf ("%g:%g", plan->tail_part, plan->tail_factor);
  add (part, "--linger");
  add_pair (part, "--agent", agents);
  add_pair (part, "--service", plan->service);
  add_pair (part, "--member", plan->member);
  add_pair (part, "--publish-to", get_http (cluster, QUINCE_PART_WEIGHTS));
  add_pair (part, "--tail", tail);
  add_number (part, "--steps", plan->steps);
  add_number (part, "--samples", plan->samples);
  add_number (part, "--tokens", plan->tokens);
  add_number (part, "--staleness", plan->staleness_bound);
  add_number (part, "--step-ms", plan->step_ms);
  add_number (part, "--ahead", plan->ahead);
  add_number (part, "--version", plan->first_version);
}

/* ---- Starting ------------------------------------------------------------ */

gboolean
quince_part_spawn (QuinceCluster *cluster, QuinceClusterPart *part, GError **error)
{
  g_clear_pointer (&part->process, quince_process_free);
  g_ptr_array_add (part->arguments, NULL);
  part->process = quince_process_spawn (cluster->folder, part->name,
                                        (const char *const *)part->arguments->pdata, error);
  g_ptr_array_remove_index (part->arguments, part->arguments->len - 1);
  part->starts += part->process != NULL ? 1 : 0;
  return part->process != NULL;
}

static void
learn (QuinceClusterPart *part, char **field, const char *key)
{
  const char *value = quince_process_get (part->process, key);
  if (*value == '\0')
    return;
  g_free (*field);
  *field = g_strdup (value);
}

gboolean
quince_part_await (QuinceClusterPart *part, GError **error)
{
  if (!quince_process_await_ready (part->process, error))
    return FALSE;
  learn (part, &part->http, "http");
  learn (part, &part->control, "control");
  learn (part, &part->address, "address");
  learn (part, &part->gossip, "gossip");
  return TRUE;
}
