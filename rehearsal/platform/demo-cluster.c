/*
 * demo-cluster.c: runs the processes, store and workers of a deployment.
 */
#include "demo-cluster.h"

#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "template.h"

/* Each process has its own loopback address, so that all of them can use the same ports, as on separate
 * machines.  This is the last octet of the first front's address; later zones count up from it. */
#define FIRST_FRONT_HOST 10
/* Last octet of the first replica's address; leaves space for 50 zones. */
#define FIRST_REPLICA_HOST 60
#define CALLERS_PORT 8080
#define READY_PORT 8081     /* readiness checks */
#define DIRECTORY_PORT 8082 /* directory of fronts */
#define LINK_PORT 7000      /* links of a replica */
/* Sleep while the main context has no pending events. */
#define POLL_INTERVAL_US 1000
/* The first election takes about 2 s. */
#define START_TIMEOUT_MS 20000
/* Longer than the operator tool retries an unresponsive store (16 s). */
#define OPERATOR_TIMEOUT_MS 20000

gboolean
demo_await (gboolean (*condition) (gpointer data), gpointer data, guint timeout_ms)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  while (!condition (data))
    {
      if (g_get_monotonic_time () > end_us)
        return FALSE;
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (POLL_INTERVAL_US);
    }
  return TRUE;
}

/* ---- Settings ----------------------------------------------------------- */

static const char *
get_zone_name (const DemoCluster *cluster, guint index)
{
  return cluster->deployment->zones[index];
}

static void
set_value (GHashTable *values, const char *name, char *value)
{
  g_hash_table_insert (values, g_strdup (name), value);
}

/* Returns: (transfer full): ZONE=REGION entries, separated by commas; all zones are in one region */
static char *
format_zones (const DemoCluster *cluster)
{
  g_autoptr (GString) text = g_string_new (NULL);
  for (guint i = 0; i < cluster->deployment->n_zones; i++)
    g_string_append_printf (text, "%s%s=region", i > 0 ? "," : "", get_zone_name (cluster, i));
  return g_string_free (g_steal_pointer (&text), FALSE);
}

/* Returns: (transfer full): the values that the platform sets in the template of a process */
static GHashTable *
make_template_values (const DemoCluster *cluster, const char *name, const char *ip, guint zone)
{
  GHashTable *values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  set_value (values, "node", g_strdup (name));
  set_value (values, "ip", g_strdup (ip));
  set_value (values, "zone", g_strdup (get_zone_name (cluster, zone)));
  set_value (values, "region", g_strdup ("region"));
  set_value (values, "zones", format_zones (cluster));
  set_value (values, "listen.front", g_strdup_printf ("%s:%d", ip, CALLERS_PORT));
  set_value (values, "listen.ready", g_strdup_printf ("%s:%d", ip, READY_PORT));
  set_value (values, "listen.directory", g_strdup_printf ("%s:%d", ip, DIRECTORY_PORT));
  set_value (values, "internalPorts.0", g_strdup_printf ("%d", LINK_PORT));
  set_value (values, "platform.address", g_strdup (standin_store_get_address (cluster->store)));
  set_value (values, "dataDir", g_strdup_printf ("%s/data-%s", cluster->run_folder, name));
  set_value (values, "bootstrap", g_strdup (cluster->is_bootstrapped ? "false" : "true"));
  set_value (values, "faultTolerance.machines", g_strdup ("1"));
  set_value (values, "faultTolerance.zones", g_strdup ("0"));
  set_value (values, "bounds.configApplyMs", g_strdup ("2000"));
  set_value (values, "bounds.drainMs", g_strdup ("3000"));
  set_value (values, "bounds.graceS", g_strdup ("8"));
  set_value (values, "bounds.statusIntervalS", g_strdup ("60"));
  set_value (values, "bounds.leaseMs", g_strdup ("500"));
  set_value (values, "limits.memoryMb", g_strdup ("270"));
  set_value (values, "limits.maxFds", g_strdup ("4100"));
  return values;
}

/* Writes the settings file of a process from the template of its role.
 *
 * Returns: (transfer full) (nullable): the path of the file, or %NULL with an error */
static char *
write_settings (DemoCluster *cluster,
                const char *role,
                const char *name,
                const char *ip,
                guint zone,
                GError **error)
{
  g_autofree char *template_path = g_strdup_printf ("deploy/%s.ini", role);
  g_autofree char *template_text = NULL;
  if (!g_file_get_contents (template_path, &template_text, NULL, error))
    return NULL;
  g_autoptr (GHashTable) values = make_template_values (cluster, name, ip, zone);
  g_autofree char *text = template_render (template_text, values, error);
  g_autofree char *path = g_strdup_printf ("%s/%s.ini", cluster->run_folder, name);
  if (text == NULL || !g_file_set_contents (path, text, -1, error))
    return NULL;
  return g_steal_pointer (&path);
}

/* ---- Processes ---------------------------------------------------------- */

static QuinceProcess *
start_process (DemoCluster *cluster, const char *role, guint first_host, guint zone, GError **error)
{
  g_autofree char *name = g_strdup_printf ("%s-%u", role, zone);
  g_autofree char *ip = g_strdup_printf ("127.%u.%u.%u", 1 + (cluster->network_number >> 8 & 0x7f),
                                         cluster->network_number & 0xff, first_host + zone);
  g_autofree char *data = g_strdup_printf ("%s/data-%s", cluster->run_folder, name);
  g_mkdir_with_parents (data, 0700);
  g_autofree char *settings = write_settings (cluster, role, name, ip, zone, error);
  if (settings == NULL)
    return NULL;
  g_autofree char *program = g_strdup_printf ("%s/daemons/quinceroute-%s", cluster->build_folder, role);
  const char *const arguments[] = { program, "-c", settings, NULL };
  g_autoptr (QuinceProcess) process = quince_process_spawn (cluster->run_folder, name, arguments, error);
  if (process == NULL || !quince_process_await_ready (process, error))
    return NULL;
  return g_steal_pointer (&process);
}

static gboolean
start_processes (DemoCluster *cluster, GError **error)
{
  for (guint i = 0; i < cluster->deployment->n_zones; i++)
    {
      QuinceProcess *replica = start_process (cluster, "replica", FIRST_REPLICA_HOST, i, error);
      if (replica == NULL)
        return FALSE;
      g_ptr_array_add (cluster->replicas, replica);
    }
  for (guint i = 0; i < cluster->deployment->n_zones; i++)
    {
      QuinceProcess *front = start_process (cluster, "front", FIRST_FRONT_HOST, i, error);
      if (front == NULL)
        return FALSE;
      g_ptr_array_add (cluster->fronts, front);
    }
  cluster->is_bootstrapped = TRUE;
  return TRUE;
}

const char *
demo_cluster_get_front_address (const DemoCluster *cluster, guint index)
{
  return quince_process_get_ready_value (cluster->fronts->pdata[index % cluster->fronts->len], "callers");
}

/* Returns: the greatest number that follows @prefix in the output of process @name, or 0 if there is none */
static guint64
find_max_logged_number (const DemoCluster *cluster, const char *name, const char *prefix)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.out", cluster->run_folder, name);
  g_autofree char *text = NULL;
  guint64 max_number = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  for (const char *match = strstr (text, prefix); match != NULL; match = strstr (match + 1, prefix))
    max_number = MAX (max_number, g_ascii_strtoull (match + strlen (prefix), NULL, 10));
  return max_number;
}

/* Returns: the index of the replica that logged the greatest leader epoch, or -1 if none was leader */
static gint
find_leader (const DemoCluster *cluster)
{
  guint64 max_epoch = 0;
  gint leader = -1;
  for (guint i = 0; i < cluster->replicas->len; i++)
    {
      const char *name = quince_process_get_name (cluster->replicas->pdata[i]);
      guint64 epoch = find_max_logged_number (cluster, name, "event=ledger_recovered epoch=");
      if (epoch <= max_epoch)
        continue;
      max_epoch = epoch;
      leader = (gint)i;
    }
  return leader;
}

gboolean
demo_cluster_kill_leader (DemoCluster *cluster, GError **error)
{
  gint leader = find_leader (cluster);
  if (leader < 0)
    {
      g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_START,
                           "no replica has become leader");
      return FALSE;
    }
  quince_process_kill (cluster->replicas->pdata[leader]);
  QuinceProcess *restarted = start_process (cluster, "replica", FIRST_REPLICA_HOST, (guint)leader, error);
  if (restarted == NULL)
    return FALSE;
  quince_process_free (cluster->replicas->pdata[leader]);
  cluster->replicas->pdata[leader] = restarted;
  return TRUE;
}

/* ---- Operator tool ------------------------------------------------------- */

static gboolean
has_ended (gpointer data)
{
  return !quince_process_is_running (data);
}

int
demo_cluster_run_operator_tool (DemoCluster *cluster, const char *const *command)
{
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  g_autofree char *program = g_build_filename (cluster->build_folder, "tools", "quinceroute", NULL);
  g_ptr_array_add (arguments, program);
  for (; *command != NULL; command++)
    g_ptr_array_add (arguments, (gpointer)*command);
  g_ptr_array_add (arguments, (gpointer) "--store");
  g_ptr_array_add (arguments, (gpointer)standin_store_get_address (cluster->store));
  g_ptr_array_add (arguments, NULL);
  int status = -1;
  g_autoptr (QuinceProcess) process
      = quince_process_spawn (cluster->run_folder, "operator", (const char *const *)arguments->pdata, NULL);
  if (process != NULL && demo_await (has_ended, process, OPERATOR_TIMEOUT_MS))
    quince_process_wait (process, 0, &status);
  return status;
}

static gboolean
is_policy_in_force (gpointer data)
{
  const DemoCluster *cluster = data;
  const GPtrArray *const process_lists[] = { cluster->fronts, cluster->replicas };
  guint64 min_revision = G_MAXUINT64, max_revision = 0;
  for (guint i = 0; i < G_N_ELEMENTS (process_lists); i++)
    for (guint j = 0; j < process_lists[i]->len; j++)
      {
        const char *name = quince_process_get_name (process_lists[i]->pdata[j]);
        guint64 revision = find_max_logged_number (cluster, name, "event=policy_in_force revision=");
        min_revision = MIN (min_revision, revision);
        max_revision = MAX (max_revision, revision);
      }
  return min_revision > 0 && min_revision == max_revision;
}

gboolean
demo_cluster_await_policy (DemoCluster *cluster, guint timeout_ms)
{
  return demo_await (is_policy_in_force, cluster, timeout_ms);
}

/* ---- Start and free ------------------------------------------------------- */

/* Spreads the events of a stream over the time that a sample of mean length takes.
 *
 * Returns: milliseconds between two events */
static guint
get_event_interval_ms (const DemoCluster *cluster, const QuinceServicePlan *service)
{
  const QuinceTrainerPlan *trainer = cluster->deployment->trainers->pdata[0];
  return (guint)(trainer->mean_tokens * service->token_time_us / DEMO_EVENTS_PER_STREAM / 1000);
}

static void
add_worker (DemoCluster *cluster, const QuinceServicePlan *service, guint index)
{
  gboolean is_model = demo_is_model_service (cluster->deployment, service->name);
  g_autofree char *id = g_strdup_printf ("%s-%u", service->name, index);
  StandinWorker *worker = standin_worker_new (id);
  standin_worker_set_zone_and_slots (worker, get_zone_name (cluster, index % cluster->deployment->n_zones),
                                     service->capacity);
  if (is_model)
    standin_worker_set_events (worker, DEMO_EVENTS_PER_STREAM, get_event_interval_ms (cluster, service));
  g_ptr_array_add (cluster->workers, worker);
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  g_autofree char *entry = standin_worker_make_entry (worker, service->name, "ready");
  standin_store_put (cluster->store, key, entry);
}

static gboolean
has_leader (gpointer data)
{
  return find_leader (data) >= 0;
}

DemoCluster *
demo_cluster_start (const char *build_folder,
                    const char *run_folder,
                    const QuinceDeployment *deployment,
                    GError **error)
{
  g_autoptr (DemoCluster) cluster = g_new0 (DemoCluster, 1);
  cluster->deployment = deployment;
  cluster->build_folder = g_strdup (build_folder);
  cluster->run_folder = g_strdup (run_folder);
  cluster->network_number = (guint)getpid ();
  cluster->store = standin_store_new ();
  cluster->workers = g_ptr_array_new_with_free_func ((GDestroyNotify)standin_worker_free);
  cluster->fronts = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_process_free);
  cluster->replicas = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_process_free);
  g_mkdir_with_parents (run_folder, 0700);
  g_autofree char *configuration = demo_make_configuration (deployment);
  standin_store_put (cluster->store, "op/config", configuration);
  for (guint i = 0; i < deployment->services->len; i++)
    {
      const QuinceServicePlan *service = deployment->services->pdata[i];
      for (guint j = 0; j < service->workers; j++)
        add_worker (cluster, service, j);
    }
  if (!start_processes (cluster, error))
    return NULL;
  if (demo_await (has_leader, cluster, START_TIMEOUT_MS))
    return g_steal_pointer (&cluster);
  g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_TIMEOUT,
                       "no replica has become leader within 20 s");
  return NULL;
}

void
demo_cluster_free (DemoCluster *cluster)
{
  if (cluster == NULL)
    return;
  g_ptr_array_unref (cluster->fronts);
  g_ptr_array_unref (cluster->replicas);
  g_ptr_array_unref (cluster->workers);
  standin_store_free (cluster->store);
  g_free (cluster->run_folder);
  g_free (cluster->build_folder);
  g_free (cluster);
}
