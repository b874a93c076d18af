/*
 * engines.c: which engines there are and how they are.
 */
#include "engines.h"

#include <quince/log.h>
#include <quince/machine-list.h>
#include <quince/task.h>

#include "engine-poll.h"
#include "zone-duties.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)
/* Polls that are due begin at most this late. */
#define STEP_MOST_MS 100

/* Owned by the node, on its main context. */
struct _QuinceEngines
{
  QuinceNode *node;         /* not owned                              */
  GHashTable *by_name;      /* owned: name -> QuinceEnginePoll        */
  GHashTable *fixed;        /* owned set: names from the settings     */
  QuinceZoneDuties *duties; /* owned                                  */
  QuinceEnginePollTimes times;
  GSource *step_timer;            /* owned: begins the polls that are due   */
  gboolean list_pending;          /* a read of the list is on its way       */
  gboolean list_up;               /* its last read was answered             */
  GCancellable *cancellable;      /* owned: ends it                         */
  GSource *list_timer;            /* owned; %NULL: no list is set           */
  QuinceEnginesCounters counters; /* beside what they count                 */
};

static guint
duration_ms (const QuinceSettings *settings, const char *key)
{
  return (guint)(quince_settings_get_duration_us (settings, "engines", key) / MILLISECOND);
}

static QuinceEnginePoll *
add_engine (QuinceEngines *engines, const QuinceEngineInfo *info)
{
  QuinceEnginePoll *poll = quince_engine_poll_new (engines->node, info, &engines->times, &engines->counters);
  g_hash_table_replace (engines->by_name, g_strdup (info->name), poll);
  quince_zone_duties_add (engines->duties, poll);
  return poll;
}

/* ---- Polls ----------------------------------------------------------- */

static void
step_all (QuinceEngines *engines)
{
  gint64 now_us = quince_now_us ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceEngineRole role = quince_zone_duties_get_role (engines->duties, value);
      quince_engine_poll_step (value, now_us, &role);
    }
}

static gboolean
step_due (gpointer user_data)
{
  step_all (user_data);
  return G_SOURCE_CONTINUE;
}

void
quince_engines_members_changed (QuinceEngines *engines)
{
  if (engines != NULL)
    quince_zone_duties_members_changed (engines->duties);
}

gboolean
quince_engines_is_heard_since (const QuinceEngines *engines, const char *engine, gint64 time_us)
{
  const QuinceEnginePoll *poll = g_hash_table_lookup (engines->by_name, engine);
  return poll == NULL || quince_engine_poll_get_heard_us (poll) > time_us;
}

GArray *
quince_engines_make_readings (QuinceEngines *engines)
{
  return quince_zone_duties_make_readings (engines->duties);
}

void
quince_engines_take_readings (QuinceEngines *engines, const char *from, const QuinceEngineReadings *readings)
{
  if (engines != NULL)
    quince_zone_duties_take_readings (engines->duties, from, readings);
}

/* ---- Machine list ---------------------------------------------------- */

static gboolean
is_same_machine (const QuinceEngineInfo *info, const QuinceMachine *machine)
{
  return g_str_equal (info->address, machine->address) && g_str_equal (info->service, machine->service)
         && g_str_equal (info->zone, machine->zone);
}

static void
take_machine (QuinceEngines *engines, const QuinceMachine *machine)
{
  QuinceEnginePoll *poll = g_hash_table_lookup (engines->by_name, machine->name);
  gboolean fixed = g_hash_table_contains (engines->fixed, machine->name);
  if (poll != NULL && !fixed && !is_same_machine (quince_engine_poll_get_info (poll), machine))
    {
      /* Replaced by another machine of the same name. */
      quince_zone_duties_remove (engines->duties, poll);
      g_hash_table_remove (engines->by_name, machine->name);
      poll = NULL;
    }
  if (poll == NULL)
    {
      QuinceEngineInfo info = { 0 };
      info.name = machine->name;
      info.address = machine->address;
      info.service = machine->service;
      info.zone = machine->zone;
      poll = add_engine (engines, &info);
    }
  quince_engine_poll_set_listed_leaving (poll, machine->leaving);
}

/* The list lags: an engine that it no longer names gets no new work, and is
 * forgotten when it cannot be reached either. */
static void
drop_unlisted (QuinceEngines *engines, GHashTable *listed)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      if (g_hash_table_contains (listed, name) || g_hash_table_contains (engines->fixed, name))
        continue;
      if (quince_engine_poll_get_info (value)->available)
        quince_engine_poll_set_listed_leaving (value, TRUE);
      else
        {
          quince_zone_duties_remove (engines->duties, value);
          g_hash_table_iter_remove (&iter);
        }
    }
}

static void
list_answered (const GArray *machines, const GError *error, gpointer user_data)
{
  QuinceEngines *engines = user_data;
  engines->list_pending = FALSE;
  engines->list_up = machines != NULL;
  if (machines == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      engines->counters.list_failures++;
      quince_log_debug ("machine_list_failed", "reason=%s", reason);
      return;
    }
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < machines->len; i++)
    {
      const QuinceMachine *machine = &g_array_index (machines, QuinceMachine, i);
      g_hash_table_add (listed, (gpointer)machine->name);
      take_machine (engines, machine);
    }
  drop_unlisted (engines, listed);
  step_all (engines);
}

static gboolean
list_due (gpointer user_data)
{
  QuinceEngines *engines = user_data;
  if (engines->list_pending)
    return G_SOURCE_CONTINUE;
  engines->list_pending = TRUE;
  quince_machine_list_get (engines->node->http_client,
                           quince_settings_get_text (engines->node->settings, "platform", "machines"),
                           engines->times.timeout_ms, engines->cancellable, list_answered, engines);
  return G_SOURCE_CONTINUE;
}

/* ---- Lifetime -------------------------------------------------------- */

static void
add_fixed_engines (QuinceEngines *engines)
{
  const QuinceSettings *settings = engines->node->settings;
  g_auto (GStrv) names = quince_settings_get_instances (settings, "engine");
  for (guint i = 0; names[i] != NULL; i++)
    {
      g_autofree char *section = g_strdup_printf ("engine %s", names[i]);
      QuinceEngineInfo info = { 0 };
      info.name = names[i];
      info.address = quince_settings_get_text (settings, section, "address");
      info.service = quince_settings_get_text (settings, section, "service");
      info.zone = quince_settings_get_text (settings, section, "zone");
      g_hash_table_add (engines->fixed, g_strdup (names[i]));
      add_engine (engines, &info);
    }
}

QuinceEngines *
quince_engines_new (QuinceNode *node)
{
  QuinceEngines *engines = g_new0 (QuinceEngines, 1);
  engines->node = node;
  engines->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_engine_poll_free);
  engines->fixed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engines->times.load_interval_ms = duration_ms (node->settings, "load_interval");
  engines->times.cache_interval_ms = duration_ms (node->settings, "cache_interval");
  engines->times.timeout_ms = duration_ms (node->settings, "timeout");
  engines->cancellable = g_cancellable_new ();
  engines->duties = quince_zone_duties_new (node);
  quince_zone_duties_members_changed (engines->duties);
  guint step_ms = MIN (engines->times.load_interval_ms, engines->times.cache_interval_ms);
  engines->step_timer = quince_timer_add (MIN (step_ms, STEP_MOST_MS), step_due, engines);
  add_fixed_engines (engines);
  if (*quince_settings_get_text (node->settings, "platform", "machines") != '\0')
    {
      engines->list_timer
          = quince_timer_add (duration_ms (node->settings, "list_interval"), list_due, engines);
      list_due (engines);
    }
  step_all (engines);
  return engines;
}

void
quince_engines_free (QuinceEngines *engines)
{
  if (engines == NULL)
    return;
  g_cancellable_cancel (engines->cancellable);
  g_object_unref (engines->cancellable);
  quince_source_clear (&engines->list_timer);
  quince_source_clear (&engines->step_timer);
  g_hash_table_unref (engines->by_name);
  g_hash_table_unref (engines->fixed);
  quince_zone_duties_free (engines->duties);
  g_free (engines);
}

void
quince_engines_foreach (const QuinceEngines *engines,
                        void (*visit) (const QuinceEngineInfo *info, gpointer user_data),
                        gpointer user_data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (quince_engine_poll_get_info (value), user_data);
}

void
quince_engines_get_counters (const QuinceEngines *engines, QuinceEnginesCounters *out)
{
  *out = engines->counters;
  out->engines = g_hash_table_size (engines->by_name);
  out->available = out->owned = out->spare = out->followed = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceDuty duty = quince_engine_poll_get_duty (value);
      out->available += quince_engine_poll_get_info (value)->available ? 1 : 0;
      out->owned += duty == QUINCE_DUTY_OWN ? 1 : 0;
      out->spare += duty == QUINCE_DUTY_SPARE ? 1 : 0;
      out->followed += duty == QUINCE_DUTY_FOLLOW ? 1 : 0;
    }
}

gboolean
quince_engines_list_is_up (const QuinceEngines *engines)
{
  return engines->list_timer == NULL || engines->list_up;
}
