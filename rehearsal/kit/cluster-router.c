/*
 * cluster-router.c: a plain router in the service's place.
 */
#include "cluster-router.h"

#include "cluster-parts.h"
#include "cluster-routes.h"

void
quince_deployment_remove_service (QuinceDeployment *deployment)
{
  for (guint i = 0; i < deployment->zones->len; i++)
    {
      QuinceZonePlan *zone = deployment->zones->pdata[i];
      zone->nodes = zone->agents = 0;
    }
}

/* Places for sequences on the engines of the trainers' services. */
static guint
count_places (const QuinceDeployment *deployment)
{
  guint places = 0;
  for (guint i = 0; i < deployment->services->len; i++)
    {
      const QuinceServicePlan *service = deployment->services->pdata[i];
      for (guint j = 0; j < deployment->trainers->len; j++)
        if (g_str_equal (((QuinceTrainerPlan *)deployment->trainers->pdata[j])->service, service->name))
          {
            places += service->workers * service->capacity;
            break;
          }
    }
  return places;
}

static char *
join_engines (QuinceCluster *cluster)
{
  GString *joined = g_string_new (NULL);
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    g_string_append_printf (joined, "%s%s=%s,%s", i > 0 ? ";" : "", engine->name, engine->route,
                            engine->service);
  return g_string_free (joined, FALSE);
}

static gboolean
add_router (QuinceCluster *cluster, const char *mode, guint index, GError **error)
{
  g_autofree char *name = g_strdup_printf ("router-%u", index);
  QuinceClusterPart *part = quince_part_new (QUINCE_PART_AGENT, name, "", "");
  g_ptr_array_add (cluster->parts, part);
  g_autofree char *program
      = g_build_filename (cluster->build_folder, "rehearsal", "quinceroute-rehearsal", NULL);
  g_autofree char *engines = join_engines (cluster);
  g_autofree char *at_once = g_strdup_printf ("%u", MAX (1, count_places (cluster->deployment)));
  /* One of them alone brings new weights. */
  const char *store = index == 0 ? quince_cluster_get (cluster, QUINCE_PART_WEIGHTS, 0)->http : "";
  const char *const arguments[]
      = { program, "baseline",          "--mode", mode, "--engines", engines, "--weights",
          store,   "--samples-at-once", at_once };
  for (guint i = 0; i < G_N_ELEMENTS (arguments); i++)
    g_ptr_array_add (part->arguments, g_strdup (arguments[i]));
  if (!quince_part_spawn (cluster, part, error) || !quince_part_await (part, error))
    return FALSE;
  if (!quince_part_add_routes (cluster, part, 0))
    part->route = g_strdup (part->http);
  quince_part_point_routes (cluster, part);
  return TRUE;
}

gboolean
quince_cluster_add_routers (QuinceCluster *cluster, const char *mode, GError **error)
{
  for (guint i = 0; i <= cluster->deployment->zones->len; i++)
    if (!add_router (cluster, mode, i, error))
      return FALSE;
  return TRUE;
}
