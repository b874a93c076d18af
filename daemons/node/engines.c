/*
 * engines.c: which engines there are and how they are.
 */
#include "engines.h"

#include <quince/log.h>
#include <quince/machine-list.h>
#include <quince/task.h>

#include "engine-poll.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)

/* Owned by the node, on its main context. */
struct _QuinceEngines
{
  QuinceNode *node;    /* not owned                              */
  GHashTable *by_name; /* owned: name -> QuinceEnginePoll        */
  GHashTable *fixed;   /* owned set: names from the settings     */
  QuinceEnginePollTimes times;
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
  return poll;
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
        g_hash_table_iter_remove (&iter);
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
  add_fixed_engines (engines);
  if (*quince_settings_get_text (node->settings, "platform", "machines") != '\0')
    {
      engines->list_timer
          = quince_timer_add (duration_ms (node->settings, "list_interval"), list_due, engines);
      list_due (engines);
    }
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
  g_hash_table_unref (engines->by_name);
  g_hash_table_unref (engines->fixed);
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
  out->available = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (quince_engine_poll_get_info (value)->available)
      out->available++;
}

gboolean
quince_engines_list_is_up (const QuinceEngines *engines)
{
  return engines->list_timer == NULL || engines->list_up;
}
