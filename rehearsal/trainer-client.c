/*
 * trainer-client.c: calls of the trainer stand-in.  A call that was cut or
 * failed is repeated at the next agent: the calls are made to be repeated.
 */
#include "trainer.h"

#include <string.h>

#define FIRST_PAUSE_MS 20
#define LONGEST_PAUSE_MS 500
#define SLEEP_SLICE_MS 20

void
trainer_sleep (Trainer *trainer, guint64 milliseconds)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)milliseconds * 1000;
  while (!g_cancellable_is_cancelled (trainer->cancellable) && g_get_monotonic_time () < end_us)
    g_usleep ((gulong)MIN (SLEEP_SLICE_MS * 1000, MAX (end_us - g_get_monotonic_time (), 1)));
}

/* Returns: (transfer full): NULL and status 0 when no whole answer came */
static JsonNode *
call_once (Trainer *trainer, const char *url, const char *body, guint *status)
{
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  *status = 0;
  if (message == NULL)
    return NULL;
  g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
  g_autoptr (GBytes) answer
      = soup_session_send_and_read (trainer->session, message, trainer->cancellable, NULL);
  if (answer == NULL)
    return NULL;
  gsize length = 0;
  const char *text = g_bytes_get_data (answer, &length);
  g_autoptr (JsonParser) parser = json_parser_new ();
  if (length == 0 || !json_parser_load_from_data (parser, text, (gssize)length, NULL))
    return NULL;
  JsonNode *root = json_parser_steal_root (parser);
  if (JSON_NODE_HOLDS_OBJECT (root))
    {
      *status = soup_message_get_status (message);
      return root;
    }
  json_node_unref (root);
  return NULL;
}

static void
count_repeat (Trainer *trainer)
{
  g_mutex_lock (&trainer->lock);
  trainer->counters.repeats++;
  g_mutex_unlock (&trainer->lock);
}

JsonNode *
trainer_call (Trainer *trainer, const char *path, const char *body, guint *status)
{
  guint n_agents = g_strv_length (trainer->settings.agents);
  gint64 end_us = g_get_monotonic_time () + (gint64)trainer->settings.timeout_s * G_USEC_PER_SEC;
  guint pause_ms = FIRST_PAUSE_MS;
  while (!g_cancellable_is_cancelled (trainer->cancellable) && g_get_monotonic_time () < end_us)
    {
      g_autofree char *url = g_strdup_printf ("http://%s%s", trainer->settings.agents[trainer->agent], path);
      JsonNode *answer = call_once (trainer, url, body, status);
      if (*status != 0 && *status < 500)
        return answer;
      g_clear_pointer (&answer, json_node_unref);
      count_repeat (trainer);
      trainer->agent = (trainer->agent + 1) % n_agents;
      trainer_sleep (trainer, pause_ms);
      pause_ms = MIN (pause_ms * 2, LONGEST_PAUSE_MS);
    }
  *status = 0;
  return NULL;
}

gboolean
trainer_publish (Trainer *trainer, guint64 version)
{
  if (trainer->settings.publish_to == NULL)
    return TRUE;
  g_autofree char *url = g_strdup_printf ("http://%s/versions", trainer->settings.publish_to);
  g_autofree char *body = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", version);
  gint64 end_us = g_get_monotonic_time () + (gint64)trainer->settings.timeout_s * G_USEC_PER_SEC;
  while (!g_cancellable_is_cancelled (trainer->cancellable) && g_get_monotonic_time () < end_us)
    {
      guint status = 0;
      g_autoptr (JsonNode) answer = call_once (trainer, url, body, &status);
      if (status == 200)
        return TRUE;
      count_repeat (trainer);
      trainer_sleep (trainer, LONGEST_PAUSE_MS);
    }
  return FALSE;
}
