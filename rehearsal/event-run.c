/*
 * event-run.c: what an operator and the callers do in a rehearsed event.
 */
#include "event-run.h"

#include <quince/task.h>

#include "http-sync.h"

#define POLICY_TIMEOUT_MS 10000
#define POLL_US 50000

static gboolean
policy_is_in_force (QuinceCluster *cluster)
{
  gint64 least = G_MAXINT64, greatest = 0;
  QuinceClusterPart *node;
  for (guint i = 0; (node = quince_cluster_get (cluster, QUINCE_PART_NODE, i)) != NULL; i++)
    {
      g_autoptr (JsonNode) status = NULL;
      quince_http_sync (node->http, "/v1/status", NULL, POLICY_TIMEOUT_MS, &status);
      gint64 revision = quince_json_dig_int (status, "policy.revision", 0);
      least = MIN (least, revision);
      greatest = MAX (greatest, revision);
    }
  return least > 0 && least == greatest;
}

gboolean
quince_event_run_accept_policy (QuinceCluster *cluster, const char *comment)
{
  const char *const arguments[]
      = { "policy", "accept", cluster->deployment->policy, "--comment", comment, NULL };
  g_autofree char *output = NULL;
  if (quince_cluster_operate (cluster, arguments, &output) != 0)
    return FALSE;
  gint64 end = quince_now_us () + POLICY_TIMEOUT_MS * 1000;
  while (!policy_is_in_force (cluster))
    {
      if (quince_now_us () > end)
        return FALSE;
      g_usleep (POLL_US);
    }
  return TRUE;
}

gint64
quince_event_run_create_event (QuinceCluster *cluster)
{
  const QuinceDeployment *deployment = cluster->deployment;
  guint64 after_s = (deployment->event_after_ms + 999) / 1000;
  g_autofree char *start = g_strdup_printf ("+%" G_GUINT64_FORMAT, after_s);
  g_autofree char *duration = g_strdup_printf ("%" G_GUINT64_FORMAT, (deployment->event_ms + 999) / 1000);
  const char *const arguments[]
      = { "event", "create", "release", "--start", start, "--duration", duration, NULL };
  gint64 now = quince_now_us ();
  if (quince_cluster_operate (cluster, arguments, NULL) != 0)
    return 0;
  return now + (gint64)after_s * G_USEC_PER_SEC;
}

void
quince_event_run_add_burst (QuinceCluster *cluster, QuinceLoad *load, gint64 start_us)
{
  g_autofree char *joined = quince_cluster_join_http (cluster, QUINCE_PART_AGENT);
  g_auto (GStrv) agents = g_strsplit (joined, ";", -1);
  for (guint i = 0; i < cluster->deployment->members->len; i++)
    {
      const QuinceMemberPlan *member = cluster->deployment->members->pdata[i];
      const QuinceLoadShape shape = { .member = member->name,
                                      .kind = member->kind,
                                      .service = member->service,
                                      .requests = member->requests,
                                      .prompt_bytes = member->prompt_bytes,
                                      .shared_prefix_bytes = member->shared_prefix_bytes,
                                      .tokens = member->tokens,
                                      .repeatable = member->repeatable,
                                      .stream = i % 2 == 1,
                                      .deadline_ms = member->deadline_ms,
                                      .start_us = start_us };
      quince_load_add (load, &shape, (const char *const *)agents);
    }
}
