/*
 * trainer-loop.c: the trainer stand-in's loop over steps: submit rollouts
 * ahead, pull the step's batch, train, publish the next version.
 */
#include "trainer.h"

#include <string.h>

#include <quince/log.h>

#define PULL_WAIT_MS 1000
#define DEFAULT_PULL_PAUSE_MS 50
#define LONGEST_PULL_PAUSE_MS 1000

static void
abort_loop (Trainer *trainer, const char *reason, guint64 step, guint status)
{
  quince_log_warning ("trainer_aborted", "reason=%s step=%" G_GUINT64_FORMAT " status=%u", reason, step,
                      status);
  g_mutex_lock (&trainer->lock);
  trainer->aborted = TRUE;
  if (status == 409)
    trainer->counters.conflicts++;
  g_mutex_unlock (&trainer->lock);
}

static char *
format_rollout (const TrainerSettings *settings, guint64 step)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "{\"trainer\":\"%s\",\"rollout_id\":\"%s-%" G_GUINT64_FORMAT
                          "\",\"service\":\"%s\",\"member\":\"%s\",\"step\":%" G_GUINT64_FORMAT
                          ",\"staleness_bound\":%" G_GUINT64_FORMAT ",\"samples\":[",
                          settings->common.name, settings->common.name, step, settings->common.service,
                          settings->member, step, settings->staleness);
  for (guint64 i = 0; i < settings->samples; i++)
    {
      g_autofree char *id = trainer_sample_id (step, i);
      g_autofree char *prompt = trainer_sample_prompt (settings, step, i);
      g_string_append_printf (
          text, "%s{\"sample_id\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%" G_GUINT64_FORMAT "}",
          i > 0 ? "," : "", id, prompt, trainer_sample_tokens (settings, step, i));
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static gboolean
submit_step (Trainer *trainer, guint64 step)
{
  guint status = 0;
  g_autofree char *body = format_rollout (&trainer->settings, step);
  g_autoptr (JsonNode) answer = trainer_call (trainer, "/v1/rollouts", body, &status);
  if (status == 200)
    return TRUE;
  abort_loop (trainer, "submit_failed", step, status);
  return FALSE;
}

static guint64
pull_pause_ms (JsonNode *answer)
{
  gint64 wanted = json_object_get_int_member_with_default (json_node_get_object (answer), "retry_after_ms",
                                                           DEFAULT_PULL_PAUSE_MS);
  return (guint64)CLAMP (wanted, 1, LONGEST_PULL_PAUSE_MS);
}

/* Returns: (transfer full) (nullable): the whole batch of @step */
static JsonNode *
pull_step (Trainer *trainer, guint64 step, guint64 version)
{
  g_autofree char *path = g_strdup_printf ("/v1/trainers/%s/pull", trainer->settings.common.name);
  g_autofree char *body
      = g_strdup_printf ("{\"step\":%" G_GUINT64_FORMAT ",\"version\":%" G_GUINT64_FORMAT ",\"wait_ms\":%u}",
                         step, version, PULL_WAIT_MS);
  gint64 end_us = g_get_monotonic_time () + (gint64)trainer->settings.timeout_s * G_USEC_PER_SEC;
  guint status = 0;
  while (!g_cancellable_is_cancelled (trainer->cancellable) && g_get_monotonic_time () < end_us)
    {
      g_autoptr (JsonNode) answer = trainer_call (trainer, path, body, &status);
      if (status == 200)
        return g_steal_pointer (&answer);
      /* A step that was accepted may not be known yet where the call arrived. */
      if (status != 202 && status != 404 && status != 429)
        break;
      trainer_sleep (trainer, pull_pause_ms (answer));
    }
  abort_loop (trainer, "pull_failed", step, status);
  return NULL;
}

static void
release_step (Trainer *trainer, guint64 step)
{
  guint status = 0;
  g_autofree char *path = g_strdup_printf ("/v1/trainers/%s/release", trainer->settings.common.name);
  g_autofree char *body = g_strdup_printf ("{\"step\":%" G_GUINT64_FORMAT "}", step);
  g_autoptr (JsonNode) answer = trainer_call (trainer, path, body, &status);
  if (status != 200 && status != 410)
    abort_loop (trainer, "release_failed", step, status);
}

static void
add_times (Trainer *trainer, gint64 idle_us, gint64 busy_us)
{
  g_mutex_lock (&trainer->lock);
  trainer->counters.idle_us += idle_us;
  trainer->counters.busy_us += busy_us;
  g_mutex_unlock (&trainer->lock);
}

/* Waits for the batch, trains on it and publishes.  Returns: FALSE: give up */
static gboolean
run_step (Trainer *trainer, guint64 step, guint64 *version)
{
  gint64 asked_us = g_get_monotonic_time ();
  g_autoptr (JsonNode) batch = pull_step (trainer, step, *version);
  gint64 got_us = g_get_monotonic_time ();
  add_times (trainer, got_us - asked_us, 0);
  if (batch == NULL)
    return FALSE;
  trainer_check_batch (trainer, json_node_get_object (batch), step, *version);
  trainer_sleep (trainer, trainer->settings.step_ms);
  add_times (trainer, 0, g_get_monotonic_time () - got_us);
  ++*version;
  if (trainer_publish (trainer, *version))
    return TRUE;
  abort_loop (trainer, "publish_failed", step, 0);
  return FALSE;
}

static gboolean
on_loop_ended (gpointer user_data)
{
  Trainer *trainer = user_data;
  trainer_on_loop_ended (trainer);
  return G_SOURCE_REMOVE;
}

gpointer
trainer_loop (gpointer data)
{
  Trainer *trainer = data;
  guint64 version = trainer->settings.version;
  guint64 submitted = 0;
  gboolean go_on = TRUE;
  for (guint64 step = 1; go_on && step <= trainer->settings.steps; step++)
    {
      while (trainer->faults.pause && !g_cancellable_is_cancelled (trainer->cancellable))
        trainer_sleep (trainer, DEFAULT_PULL_PAUSE_MS);
      guint64 wanted = MIN (step + trainer->settings.ahead, trainer->settings.steps);
      while (go_on && submitted < wanted)
        go_on = submit_step (trainer, ++submitted);
      go_on = go_on && run_step (trainer, step, &version);
    }
  if (go_on && trainer->settings.steps > 0)
    release_step (trainer, trainer->settings.steps);
  g_idle_add (on_loop_ended, trainer);
  return NULL;
}
