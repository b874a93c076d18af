/*
 * cluster-routes.c: routes of a cluster's parts through the fault proxy.
 */
#include "cluster-routes.h"

#include "http-sync.h"

#define CALL_TIMEOUT_MS 2000
/* Where a route leads until its part listens. */
#define NOWHERE "127.0.0.1:1"

static gboolean
post (QuinceCluster *cluster, int route, const char *call, const char *body)
{
  QuinceClusterPart *proxy = quince_cluster_get (cluster, QUINCE_PART_PROXY, 0);
  g_autofree char *path = g_strdup_printf ("/routes/%d/%s", route, call);
  return quince_http_sync (proxy->control, path, body, CALL_TIMEOUT_MS, NULL) == 200;
}

static char *
add_route (QuinceCluster *cluster, const char *kind, guint64 delay_us, int *number)
{
  QuinceClusterPart *proxy = quince_cluster_get (cluster, QUINCE_PART_PROXY, 0);
  g_autofree char *route
      = g_strdup_printf ("{\"kind\":\"%s\",\"listen\":\"127.0.0.1:0\",\"upstream\":\"" NOWHERE "\"}", kind);
  g_autoptr (JsonNode) answer = NULL;
  if (quince_http_sync (proxy->control, "/routes", route, CALL_TIMEOUT_MS, &answer) != 200)
    return NULL;
  *number = (int)quince_json_dig_int (answer, "route", -1);
  /* The proxy delays by whole milliseconds. */
  g_autofree char *faults = g_strdup_printf ("{\"delay_ms\":%d}", (int)((delay_us + 999) / 1000));
  post (cluster, *number, "faults", faults);
  return g_strdup (quince_json_dig_text (answer, "listen", NOWHERE));
}

static void
point (QuinceCluster *cluster, int route, const char *upstream)
{
  if (route < 0 || upstream == NULL)
    return;
  g_autofree char *body = g_strdup_printf ("{\"upstream\":\"%s\"}", upstream);
  post (cluster, route, "upstream", body);
}

gboolean
quince_part_add_routes (QuinceCluster *cluster, QuinceClusterPart *part, guint64 delay_us)
{
  part->route = add_route (cluster, "tcp", delay_us, &part->route_number);
  if (part->kind != QUINCE_PART_NODE)
    return part->route != NULL;
  part->gossip_route = add_route (cluster, "udp", delay_us, &part->gossip_route_number);
  part->kv_route = add_route (cluster, "tcp", 0, &part->kv_route_number);
  point (cluster, part->kv_route_number, quince_cluster_get (cluster, QUINCE_PART_KV, 0)->http);
  return part->route != NULL && part->gossip_route != NULL && part->kv_route != NULL;
}

void
quince_part_point_routes (QuinceCluster *cluster, QuinceClusterPart *part)
{
  point (cluster, part->route_number, part->kind == QUINCE_PART_NODE ? part->address : part->http);
  point (cluster, part->gossip_route_number, part->gossip);
}

gboolean
quince_cluster_set_route_faults (QuinceCluster *cluster, QuinceClusterPart *part, const char *faults)
{
  if (part->route_number < 0 || !post (cluster, part->route_number, "faults", faults))
    return FALSE;
  return part->gossip_route_number < 0 || post (cluster, part->gossip_route_number, "faults", faults);
}

gboolean
quince_cluster_set_kv_faults (QuinceCluster *cluster, QuinceClusterPart *node, const char *faults)
{
  return node->kv_route_number >= 0 && post (cluster, node->kv_route_number, "faults", faults);
}

/* ---- Separations ------------------------------------------------------------ */

static char *
list_processes (GPtrArray *parts)
{
  GString *text = g_string_new ("{\"processes\":[");
  for (guint i = 0; i < parts->len; i++)
    {
      const QuinceClusterPart *part = parts->pdata[i];
      g_string_append_printf (text, "%s%u", i > 0 ? "," : "", quince_process_get_id (part->process));
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* The routes of @receivers carry nothing for the processes that @body lists. */
static gboolean
block (QuinceCluster *cluster, GPtrArray *receivers, const char *body)
{
  for (guint i = 0; i < receivers->len; i++)
    {
      const QuinceClusterPart *part = receivers->pdata[i];
      if ((part->route_number >= 0 && !post (cluster, part->route_number, "blocked", body))
          || (part->gossip_route_number >= 0 && !post (cluster, part->gossip_route_number, "blocked", body)))
        return FALSE;
    }
  return TRUE;
}

gboolean
quince_cluster_separate (QuinceCluster *cluster, GPtrArray *some, GPtrArray *others)
{
  g_autofree char *first = list_processes (some);
  g_autofree char *second = list_processes (others);
  return block (cluster, others, first) && block (cluster, some, second);
}

gint64
quince_cluster_count_held (QuinceCluster *cluster)
{
  QuinceClusterPart *proxy = quince_cluster_get (cluster, QUINCE_PART_PROXY, 0);
  g_autoptr (JsonNode) answer = NULL;
  quince_http_sync (proxy->control, "/routes", NULL, CALL_TIMEOUT_MS, &answer);
  JsonArray *routes = quince_json_dig_array (answer, "routes");
  gint64 count = 0;
  for (guint i = 0; routes != NULL && i < json_array_get_length (routes); i++)
    count += quince_json_dig_int (json_array_get_element (routes, i), "blocked", 0);
  return count;
}

gboolean
quince_cluster_reunite (QuinceCluster *cluster)
{
  return block (cluster, cluster->parts, "{\"processes\":[]}");
}
