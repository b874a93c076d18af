/*
 * demo-configuration.c: generates the platform configuration of a demo deployment.
 */
#include "demo-configuration.h"

gboolean
demo_is_model_service (const QuinceDeployment *deployment, const char *service)
{
  for (guint i = 0; i < deployment->trainers->len; i++)
    if (g_str_equal (((QuinceTrainerPlan *)deployment->trainers->pdata[i])->service, service))
      return TRUE;
  return FALSE;
}

static const char *
get_route_kind_json (const QuinceDeployment *deployment, const QuinceMemberPlan *member)
{
  if (demo_is_model_service (deployment, member->service))
    return "\"streaming\",\"resumable\":true";
  return member->repeatable ? "\"idempotent\"" : "\"non_idempotent\"";
}

static void
append_member_routes (GString *text, const QuinceDeployment *deployment)
{
  g_autoptr (GHashTable) kinds = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < deployment->members->len; i++)
    {
      const QuinceMemberPlan *member = deployment->members->pdata[i];
      if (g_hash_table_add (kinds, member->kind))
        g_string_append_printf (text,
                                "{\"name\":\"%s\",\"host\":\"" DEMO_HOST
                                "\",\"pathPrefix\":\"/%s/\",\"kind\":%s,"
                                "\"timeoutMs\":%" G_GUINT64_FORMAT ",\"targetLatencyMs\":500,\"priority\":2,"
                                "\"service\":\"%s\",\"maxAttempts\":3},",
                                member->kind, member->kind, get_route_kind_json (deployment, member),
                                member->deadline_ms, member->service);
    }
}

/* Returns: (transfer none): the first service without samples, which computes the rewards, or "" */
static const char *
get_scoring_service (const QuinceDeployment *deployment)
{
  for (guint i = 0; i < deployment->services->len; i++)
    {
      const QuinceServicePlan *service = deployment->services->pdata[i];
      if (!demo_is_model_service (deployment, service->name))
        return service->name;
    }
  return "";
}

static void
append_services (GString *text, const QuinceDeployment *deployment)
{
  for (guint i = 0; i < deployment->services->len; i++)
    {
      const QuinceServicePlan *service = deployment->services->pdata[i];
      g_string_append_printf (text, "%s{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConns\":200",
                              i > 0 ? "," : "", service->name);
      if (demo_is_model_service (deployment, service->name))
        g_string_append_printf (text, ",\"engine\":{\"slots\":%u,\"models\":[{\"name\":\"" DEMO_MODEL "\"}]}",
                                service->capacity);
      g_string_append_c (text, '}');
    }
}

char *
demo_make_configuration (const QuinceDeployment *deployment)
{
  GString *text = g_string_new ("{\"version\":1,\"routes\":[");
  append_member_routes (text, deployment);
  const QuinceTrainerPlan *trainer = deployment->trainers->pdata[0];
  g_string_append_printf (text,
                          "{\"name\":\"rollout\",\"host\":\"" DEMO_HOST
                          "\",\"pathPrefix\":\"" DEMO_ROLLOUT_PREFIX
                          "\",\"kind\":\"rollout\",\"targetLatencyMs\":2000,\"deadlineMs\":60000,"
                          "\"queueTtlS\":60,\"maxAttempts\":4,\"priority\":1,\"service\":\"%s\"},"
                          "{\"name\":\"score\",\"host\":\"" DEMO_HOST "\",\"pathPrefix\":\"" DEMO_SCORE_PREFIX
                          "\",\"kind\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":500,"
                          "\"priority\":1,\"service\":\"%s\",\"maxAttempts\":4}],\"services\":[",
                          trainer->service, get_scoring_service (deployment));
  append_services (text, deployment);
  g_string_append (text, "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,"
                         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  return g_string_free (text, FALSE);
}
