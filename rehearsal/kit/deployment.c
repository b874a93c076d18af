/*
 * deployment.c: loads the description of a demo deployment.
 */
#include "deployment.h"

#define MINUTE_US (60 * G_USEC_PER_SEC)

/* clang-format off: one setting per line */
static const QuinceSettingSpec specs[] = {
  { "deployment", "name", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "name of the deployment" },
  { "deployment", "policy", QUINCE_SETTING_TEXT, TRUE, NULL, 0, 0, NULL,
    "policy program, relative to the folder of this file" },
  { "deployment", "zones", QUINCE_SETTING_TEXT, TRUE, NULL, 0, 0, NULL,
    "zone names, separated by ','; each zone has one front and one replica" },
  { "event", "after", QUINCE_SETTING_DURATION, FALSE, "5s", 0, MINUTE_US, NULL,
    "delay from the creation of the event to its start" },
  { "event", "duration", QUINCE_SETTING_DURATION, FALSE, "5s", 0, 10 * MINUTE_US, NULL,
    "duration of the event" },
  { "service *", "workers", QUINCE_SETTING_INTEGER, TRUE, NULL, 1, 256, NULL, "number of workers" },
  { "service *", "capacity", QUINCE_SETTING_INTEGER, FALSE, "16", 1, 4096, NULL,
    "concurrent sequences per worker" },
  { "service *", "token", QUINCE_SETTING_DURATION, FALSE, "2ms", 0, G_USEC_PER_SEC, NULL,
    "time to generate a token at batch size 1" },
  { "member *", "service", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL,
    "service that receives the requests" },
  { "member *", "kind", QUINCE_SETTING_NAME, FALSE, "lookup", 0, 0, NULL, "kind of lookup; names the route" },
  { "member *", "requests", QUINCE_SETTING_INTEGER, TRUE, NULL, 1, 100000, NULL,
    "number of requests in the burst" },
  { "member *", "repeatable", QUINCE_SETTING_BOOLEAN, FALSE, "true", 0, 0, NULL,
    "whether a request may run more than once" },
  { "member *", "deadline", QUINCE_SETTING_DURATION, FALSE, "2s", 1000, MINUTE_US, NULL,
    "deadline for the complete answer" },
  { "trainer *", "service", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "service that generates samples" },
  { "trainer *", "steps", QUINCE_SETTING_INTEGER, FALSE, "3", 1, 100000, NULL, "number of training steps" },
  { "trainer *", "samples", QUINCE_SETTING_INTEGER, FALSE, "64", 1, 16384, NULL, "samples per step" },
  { "trainer *", "tokens", QUINCE_SETTING_INTEGER, FALSE, "64", 1, 100000, NULL,
    "mean length of a sample, in tokens" },
  { "trainer *", "staleness_bound", QUINCE_SETTING_INTEGER, FALSE, "1", 0, 1000, NULL,
    "maximum number of weight versions that a sample may lag behind" },
  { "trainer *", "step_time", QUINCE_SETTING_DURATION, FALSE, "500ms", 0, 10 * MINUTE_US, NULL,
    "duration of a training step, without the wait for samples" },
  { "trainer *", "ahead", QUINCE_SETTING_INTEGER, FALSE, "1", 0, 64, NULL,
    "maximum number of steps submitted ahead of the current one" },
};
/* clang-format on */

static void
load_services (QuinceDeployment *deployment, const QuinceSettings *settings)
{
  g_auto (GStrv) names = quince_settings_get_instances (settings, "service");
  for (char **name = names; *name != NULL; name++)
    {
      g_autofree char *section = g_strconcat ("service ", *name, NULL);
      QuinceServicePlan *service = g_new0 (QuinceServicePlan, 1);
      service->name = g_strdup (*name);
      service->workers = (guint)quince_settings_get_integer (settings, section, "workers");
      service->capacity = (guint)quince_settings_get_integer (settings, section, "capacity");
      service->token_time_us = (guint64)quince_settings_get_duration_us (settings, section, "token");
      g_ptr_array_add (deployment->services, service);
    }
}

static void
load_members (QuinceDeployment *deployment, const QuinceSettings *settings)
{
  g_auto (GStrv) names = quince_settings_get_instances (settings, "member");
  for (char **name = names; *name != NULL; name++)
    {
      g_autofree char *section = g_strconcat ("member ", *name, NULL);
      QuinceMemberPlan *member = g_new0 (QuinceMemberPlan, 1);
      member->name = g_strdup (*name);
      member->service = g_strdup (quince_settings_get_text (settings, section, "service"));
      member->kind = g_strdup (quince_settings_get_text (settings, section, "kind"));
      member->requests = (guint)quince_settings_get_integer (settings, section, "requests");
      member->repeatable = quince_settings_get_boolean (settings, section, "repeatable");
      member->deadline_ms = (guint64)quince_settings_get_duration_us (settings, section, "deadline") / 1000;
      g_ptr_array_add (deployment->members, member);
    }
}

static void
load_trainers (QuinceDeployment *deployment, const QuinceSettings *settings)
{
  g_auto (GStrv) names = quince_settings_get_instances (settings, "trainer");
  for (char **name = names; *name != NULL; name++)
    {
      g_autofree char *section = g_strconcat ("trainer ", *name, NULL);
      QuinceTrainerPlan *trainer = g_new0 (QuinceTrainerPlan, 1);
      trainer->name = g_strdup (*name);
      trainer->service = g_strdup (quince_settings_get_text (settings, section, "service"));
      trainer->steps = (guint)quince_settings_get_integer (settings, section, "steps");
      trainer->samples_per_step = (guint)quince_settings_get_integer (settings, section, "samples");
      trainer->mean_tokens = (guint)quince_settings_get_integer (settings, section, "tokens");
      trainer->staleness_bound = (guint)quince_settings_get_integer (settings, section, "staleness_bound");
      trainer->training_time_ms
          = (guint64)quince_settings_get_duration_us (settings, section, "step_time") / 1000;
      trainer->steps_ahead = (guint)quince_settings_get_integer (settings, section, "ahead");
      g_ptr_array_add (deployment->trainers, trainer);
    }
}

static void
service_free (gpointer data)
{
  QuinceServicePlan *service = data;
  g_free (service->name);
  g_free (service);
}

static void
member_free (gpointer data)
{
  QuinceMemberPlan *member = data;
  g_free (member->name);
  g_free (member->service);
  g_free (member->kind);
  g_free (member);
}

static void
trainer_free (gpointer data)
{
  QuinceTrainerPlan *trainer = data;
  g_free (trainer->name);
  g_free (trainer->service);
  g_free (trainer);
}

QuinceDeployment *
quince_deployment_load (const char *path, GError **error)
{
  g_autoptr (QuinceSettings) settings = quince_settings_load (path, specs, G_N_ELEMENTS (specs), NULL, error);
  if (settings == NULL)
    return NULL;
  QuinceDeployment *deployment = g_new0 (QuinceDeployment, 1);
  g_autofree char *folder = g_path_get_dirname (path);
  deployment->name = g_strdup (quince_settings_get_text (settings, "deployment", "name"));
  const char *policy = quince_settings_get_text (settings, "deployment", "policy");
  deployment->policy_path
      = g_path_is_absolute (policy) ? g_strdup (policy) : g_build_filename (folder, policy, NULL);
  deployment->event_delay_ms = (guint64)quince_settings_get_duration_us (settings, "event", "after") / 1000;
  deployment->event_duration_ms
      = (guint64)quince_settings_get_duration_us (settings, "event", "duration") / 1000;
  deployment->zones = g_strsplit (quince_settings_get_text (settings, "deployment", "zones"), ",", -1);
  deployment->n_zones = g_strv_length (deployment->zones);
  deployment->services = g_ptr_array_new_with_free_func (service_free);
  deployment->members = g_ptr_array_new_with_free_func (member_free);
  deployment->trainers = g_ptr_array_new_with_free_func (trainer_free);
  load_services (deployment, settings);
  load_members (deployment, settings);
  load_trainers (deployment, settings);
  return deployment;
}

void
quince_deployment_free (QuinceDeployment *deployment)
{
  g_strfreev (deployment->zones);
  g_ptr_array_unref (deployment->services);
  g_ptr_array_unref (deployment->members);
  g_ptr_array_unref (deployment->trainers);
  g_free (deployment->policy_path);
  g_free (deployment->name);
  g_free (deployment);
}
