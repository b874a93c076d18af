/*
 * zone-duties.c: see zone-duties.h.
 */
#include "zone-duties.h"

#include <quince/engine-readings.h>
#include <quince/task.h>

#include "gossip.h"
#include "ledger-host.h"

/* Owned by the engines, on the main context. */
struct _QuinceZoneDuties
{
  QuinceNode *node;           /* not owned                                    */
  QuinceOwnership *ownership; /* owned                                        */
  GHashTable *polls;          /* owned set of QuinceEnginePoll, not owned     */
  GHashTable *by_key;         /* owned: key of a name -> QuinceEnginePoll, not owned; %NULL: of several */
  GHashTable *clocks;         /* owned: node name -> QuinceTransitClock       */
  gint64 load_interval_us;
  gint64 stale_us; /* an engine not heard of for this long gets no new work */
};

QuinceZoneDuties *
quince_zone_duties_new (QuinceNode *node)
{
  QuinceZoneDuties *duties = g_new0 (QuinceZoneDuties, 1);
  duties->node = node;
  duties->ownership = quince_ownership_new (
      node->name, node->zone, (guint)quince_settings_get_integer (node->settings, "engines", "foreign_most"));
  duties->polls = g_hash_table_new (NULL, NULL);
  duties->by_key = g_hash_table_new (NULL, NULL);
  duties->clocks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  duties->load_interval_us = quince_settings_get_duration_us (node->settings, "engines", "load_interval");
  duties->stale_us = quince_settings_get_duration_us (node->settings, "scheduler", "report_stale");
  return duties;
}

void
quince_zone_duties_free (QuinceZoneDuties *duties)
{
  if (duties == NULL)
    return;
  quince_ownership_free (duties->ownership);
  g_hash_table_unref (duties->polls);
  g_hash_table_unref (duties->by_key);
  g_hash_table_unref (duties->clocks);
  g_free (duties);
}

static gpointer
key_of (const QuinceEnginePoll *poll)
{
  return GUINT_TO_POINTER (quince_engine_reading_key (quince_engine_poll_get_info (poll)->name));
}

void
quince_zone_duties_add (QuinceZoneDuties *duties, QuinceEnginePoll *poll)
{
  const QuinceEngineInfo *info = quince_engine_poll_get_info (poll);
  gpointer key = key_of (poll);
  quince_ownership_add_engine (duties->ownership, info->name, info->service, info->zone);
  g_hash_table_add (duties->polls, poll);
  /* Engines with one key for both are polled by every node. */
  g_hash_table_insert (duties->by_key, key, g_hash_table_contains (duties->by_key, key) ? NULL : poll);
}

void
quince_zone_duties_remove (QuinceZoneDuties *duties, QuinceEnginePoll *poll)
{
  quince_ownership_remove_engine (duties->ownership, quince_engine_poll_get_info (poll)->name);
  g_hash_table_remove (duties->polls, poll);
  if (g_hash_table_lookup (duties->by_key, key_of (poll)) == poll)
    g_hash_table_remove (duties->by_key, key_of (poll));
}

void
quince_zone_duties_members_changed (QuinceZoneDuties *duties)
{
  g_autoptr (GPtrArray) members = quince_gossiper_get_members (duties->node->gossiper);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, i);
      if (member->state == QUINCE_MEMBER_ALIVE && g_str_equal (member->zone, duties->node->zone))
        g_ptr_array_add (names, member->name);
    }
  quince_ownership_set_nodes (duties->ownership, names);
}

QuinceEngineRole
quince_zone_duties_get_role (QuinceZoneDuties *duties, const QuinceEnginePoll *poll)
{
  QuinceEngineRole role = { 0 };
  gint64 round_us = quince_gossiper_get_readings_round_us (duties->node->gossiper);
  role.duty = quince_ownership_get_duty (duties->ownership, quince_engine_poll_get_info (poll)->name);
  role.coordinates = quince_ledger_host_get_fence (duties->node->ledger_host) != 0;
  role.follow_bound_us
      = quince_ownership_follow_bound_us (duties->load_interval_us, round_us, duties->stale_us);
  return role;
}

/* ---- Readings ------------------------------------------------------------- */

/* The engines that this node owns and has heard of lately. */
static GArray *
collect_owned (QuinceZoneDuties *duties, GPtrArray *names, guint64 *base)
{
  GArray *owned = g_array_new (FALSE, FALSE, sizeof (QuinceEngineFigures));
  GHashTableIter iter;
  gpointer poll;
  g_hash_table_iter_init (&iter, duties->polls);
  while (g_hash_table_iter_next (&iter, &poll, NULL))
    {
      QuinceEngineFigures figures;
      const char *name = quince_engine_poll_get_info (poll)->name;
      if (quince_ownership_get_duty (duties->ownership, name) != QUINCE_DUTY_OWN
          || !quince_engine_poll_get_figures (poll, quince_now_us (), &figures))
        continue;
      *base = quince_engine_reading_base (*base, figures.weight_version, figures.target_version);
      g_array_append_val (owned, figures);
      g_ptr_array_add (names, (gpointer)name);
    }
  return owned;
}

static QuinceEngineReadings *
add_datagram (QuinceZoneDuties *duties, GArray *readings, guint64 base)
{
  g_array_set_size (readings, readings->len + 1);
  QuinceEngineReadings *datagram = &g_array_index (readings, QuinceEngineReadings, readings->len - 1);
  datagram->incarnation = duties->node->incarnation;
  datagram->sent_us = (guint64)quince_now_us ();
  datagram->base_version = base;
  datagram->engines.engines_val = g_new0 (QuinceEngineReading, QUINCE_MAX_READINGS);
  return datagram;
}

GArray *
quince_zone_duties_make_readings (QuinceZoneDuties *duties)
{
  guint64 base = 0;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  g_autoptr (GArray) owned = collect_owned (duties, names, &base);
  GArray *readings = g_array_new (FALSE, TRUE, sizeof (QuinceEngineReadings));
  QuinceEngineReadings *datagram = NULL;
  for (guint i = 0; i < owned->len; i++)
    {
      QuinceEngineReading reading;
      const QuinceEngineFigures *figures = &g_array_index (owned, QuinceEngineFigures, i);
      if (!quince_engine_reading_pack (g_ptr_array_index (names, i), figures, base, &reading))
        continue;
      if (datagram == NULL || datagram->engines.engines_len >= QUINCE_MAX_READINGS)
        datagram = add_datagram (duties, readings, base);
      datagram->engines.engines_val[datagram->engines.engines_len++] = reading;
    }
  return readings;
}

void
quince_zone_duties_readings_free (GArray *readings)
{
  for (guint i = 0; i < readings->len; i++)
    g_free (g_array_index (readings, QuinceEngineReadings, i).engines.engines_val);
  g_array_unref (readings);
}

static QuinceTransitClock *
find_clock (QuinceZoneDuties *duties, const char *node)
{
  QuinceTransitClock *clock = g_hash_table_lookup (duties->clocks, node);
  if (clock != NULL)
    return clock;
  if (g_hash_table_size (duties->clocks) >= QUINCE_MAX_MEMBERS)
    g_hash_table_remove_all (duties->clocks);
  clock = g_new0 (QuinceTransitClock, 1);
  g_hash_table_insert (duties->clocks, g_strdup (node), clock);
  return clock;
}

void
quince_zone_duties_take_readings (QuinceZoneDuties *duties,
                                  const char *from,
                                  const QuinceEngineReadings *readings)
{
  if (!quince_ownership_has_node (duties->ownership, from))
    return;
  gint64 sent_us = quince_transit_clock_sent_at (find_clock (duties, from), readings->incarnation,
                                                 readings->sent_us, quince_now_us ());
  for (guint i = 0; i < readings->engines.engines_len; i++)
    {
      const QuinceEngineReading *reading = &readings->engines.engines_val[i];
      QuinceEnginePoll *poll = g_hash_table_lookup (duties->by_key, GUINT_TO_POINTER (reading->engine));
      QuinceEngineFigures figures;
      if (poll == NULL)
        continue;
      quince_engine_reading_unpack (reading, readings->base_version, &figures);
      quince_engine_poll_take_figures (poll, &figures, sent_us - figures.age_us);
    }
}
