/*
 * scale-real.c: real node processes beside the hollow ones of a scale run.
 *
 * They are asked over HTTP, as operators ask them.
 */
#include "scale-real.h"

#include <glib/gstdio.h>

#include "http-sync.h"
#include "process.h"

#define STATUS_TIMEOUT_MS 2000
#define NODE_PROGRAM "daemons/quinceroute-node"
#define SELF_EXECUTABLE "/proc/self/exe"

struct _QuinceScaleReal
{
  char *folder;         /* owned: output of the processes */
  GPtrArray *processes; /* QuinceProcess, owned           */
};

/* The node program of the build that this program is of. */
static char *
find_node_program (void)
{
  g_autofree char *self = g_file_read_link (SELF_EXECUTABLE, NULL);
  g_autofree char *folder = g_path_get_dirname (self != NULL ? self : ".");
  g_autofree char *build = g_path_get_dirname (folder);
  return g_build_filename (build, NODE_PROGRAM, NULL);
}

static void
add_setting (GPtrArray *arguments, const char *name, const char *value)
{
  g_ptr_array_add (arguments, g_strdup ("--set"));
  g_ptr_array_add (arguments, g_strconcat (name, "=", value, NULL));
}

static gboolean
add_node (QuinceScaleReal *real, QuinceScaleCluster *cluster, guint index, const char *seeds, GError **error)
{
  g_autofree char *name = g_strdup_printf ("real-%u", index);
  g_autofree char *zone = quince_scale_cluster_name_zone (cluster, index);
  g_autoptr (GPtrArray) arguments = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (arguments, find_node_program ());
  add_setting (arguments, "node.name", name);
  add_setting (arguments, "node.zone", zone);
  add_setting (arguments, "node.listen", "127.0.0.1:0");
  add_setting (arguments, "node.gossip", "127.0.0.1:0");
  add_setting (arguments, "node.http", "127.0.0.1:0");
  add_setting (arguments, "node.seeds", seeds);
  g_ptr_array_add (arguments, NULL);
  QuinceProcess *process
      = quince_process_spawn (real->folder, name, (const char *const *)arguments->pdata, error);
  if (process == NULL)
    return FALSE;
  g_ptr_array_add (real->processes, process);
  return quince_process_await_ready (process, error);
}

QuinceScaleReal *
quince_scale_real_new (QuinceScaleCluster *cluster, guint count, GError **error)
{
  g_autoptr (QuinceScaleReal) real = g_new0 (QuinceScaleReal, 1);
  real->processes = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_process_free);
  real->folder = g_dir_make_tmp ("quince-scale-XXXXXX", error);
  if (real->folder == NULL)
    return NULL;
  g_autofree char *seeds = quince_scale_cluster_list_seeds (cluster);
  g_strdelimit (seeds, ",", ';');
  for (guint i = 0; i < count; i++)
    {
      if (!add_node (real, cluster, i, seeds, error))
        return NULL;
    }
  return g_steal_pointer (&real);
}

/* Removes a folder of plain files. */
static void
remove_folder (const char *path)
{
  g_autoptr (GDir) folder = g_dir_open (path, 0, NULL);
  const char *name;
  while (folder != NULL && (name = g_dir_read_name (folder)) != NULL)
    {
      g_autofree char *file = g_build_filename (path, name, NULL);
      g_unlink (file);
    }
  g_rmdir (path);
}

void
quince_scale_real_free (QuinceScaleReal *real)
{
  if (real == NULL)
    return;
  g_ptr_array_unref (real->processes);
  if (real->folder != NULL)
    remove_folder (real->folder);
  g_free (real->folder);
  g_free (real);
}

/* (transfer full) (nullable): the status of one node. */
static JsonNode *
get_status (QuinceProcess *process)
{
  JsonNode *status = NULL;
  guint code = quince_http_sync (quince_process_get (process, "http"), "/v1/status", NULL, STATUS_TIMEOUT_MS,
                                 &status);
  if (code == 200)
    return status;
  g_clear_pointer (&status, json_node_unref);
  return NULL;
}

static guint
count_alive (JsonNode *status)
{
  JsonArray *members = quince_json_dig_array (status, "members");
  guint alive = 0;
  for (guint i = 0; members != NULL && i < json_array_get_length (members); i++)
    {
      const char *state = quince_json_dig_text (json_array_get_element (members, i), "state", "");
      alive += g_str_equal (state, "alive");
    }
  return alive;
}

guint
quince_scale_real_count_agreeing (QuinceScaleReal *real, guint alive)
{
  guint agree = 0;
  for (guint i = 0; i < real->processes->len; i++)
    {
      g_autoptr (JsonNode) status = get_status (real->processes->pdata[i]);
      agree += status != NULL && count_alive (status) == alive;
    }
  return agree;
}

guint
quince_scale_real_count_in_force (QuinceScaleReal *real, guint64 revision)
{
  guint in_force = 0;
  for (guint i = 0; i < real->processes->len; i++)
    {
      g_autoptr (JsonNode) status = get_status (real->processes->pdata[i]);
      in_force += status != NULL && quince_json_dig_int (status, "policy.revision", 0) >= (gint64)revision;
    }
  return in_force;
}

void
quince_scale_real_get_cost (QuinceScaleReal *real, QuinceScaleRealCost *cost)
{
  *cost = (QuinceScaleRealCost){ 0 };
  for (guint i = 0; i < real->processes->len; i++)
    {
      QuinceProcess *process = real->processes->pdata[i];
      g_autoptr (JsonNode) status = get_status (process);
      cost->gossip_bytes += status != NULL ? quince_json_dig_int (status, "links.gossip_bytes_sent", 0) : 0;
      cost->processor_us += (gint64)quince_process_get_cpu_us (process);
      cost->resident_kib += (gint64)(quince_process_get_memory (process) / 1024);
    }
}
