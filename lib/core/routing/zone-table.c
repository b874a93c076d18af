/*
 * zone-table.c: the last evacuation or return of each zone.
 */
#include "core/routing/zone-table.h"

#include "core/routing/sorted-names.h"

/* Time in which the share of a returned zone ramps up to 1; its workers run their first prompts and load
 * weights in about this time. */
#define RETURN_RAMP_US (3 * G_USEC_PER_SEC)
/* Share of new work right after the return. */
#define RETURN_SHARE_MIN 0.25

typedef struct
{
  guint64 revision; /* of the metadata store, at the last change */
  gboolean evacuated;
  gint64 evacuated_us; /* when this process learned of the evacuation; 0: not evacuated */
  gint64 returned_us;  /* when the zone was taken back; 0: evacuated, or never taken back */
} ZoneState;

struct _QuinceZoneTable
{
  GHashTable *zones; /* name to ZoneState, both owned */
  guint n_evacuated;
  gint64 last_return_us; /* last time at which any zone was taken back; 0: never */
};

QuinceZoneTable *
quince_zone_table_new (void)
{
  QuinceZoneTable *table = g_new0 (QuinceZoneTable, 1);
  table->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

void
quince_zone_table_free (QuinceZoneTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->zones);
  g_free (table);
}

static ZoneState *
find_or_add (QuinceZoneTable *table, const char *zone)
{
  ZoneState *state = g_hash_table_lookup (table->zones, zone);
  if (state != NULL)
    return state;
  state = g_new0 (ZoneState, 1);
  g_hash_table_insert (table->zones, g_strdup (zone), state);
  return state;
}

gboolean
quince_zone_table_set_evacuated (QuinceZoneTable *table,
                                 gint64 now_us,
                                 const char *zone,
                                 guint64 revision,
                                 gboolean evacuated)
{
  ZoneState *state = find_or_add (table, zone);
  if (revision < state->revision)
    return FALSE;
  state->revision = revision;
  if (state->evacuated == evacuated)
    return FALSE;
  state->evacuated = evacuated;
  state->evacuated_us = evacuated ? now_us : 0;
  state->returned_us = evacuated ? 0 : now_us;
  if (evacuated)
    table->n_evacuated++;
  else
    table->n_evacuated--;
  if (!evacuated)
    table->last_return_us = now_us;
  return TRUE;
}

gboolean
quince_zone_table_is_evacuated (const QuinceZoneTable *table, const char *zone)
{
  const ZoneState *state = g_hash_table_lookup (table->zones, zone);
  return state != NULL && state->evacuated;
}

gint64
quince_zone_table_get_evacuated_us (const QuinceZoneTable *table, const char *zone)
{
  const ZoneState *state = g_hash_table_lookup (table->zones, zone);
  return state != NULL ? state->evacuated_us : 0;
}

gboolean
quince_zone_table_has_returning_zone (const QuinceZoneTable *table, gint64 now_us)
{
  return table->last_return_us != 0 && now_us - table->last_return_us < RETURN_RAMP_US;
}

double
quince_zone_table_get_share (const QuinceZoneTable *table, gint64 now_us, const char *zone)
{
  const ZoneState *state = g_hash_table_lookup (table->zones, zone);
  if (state != NULL && state->evacuated)
    return 0;
  if (state == NULL || state->returned_us == 0)
    return 1;
  gint64 elapsed_us = CLAMP (now_us - state->returned_us, 0, RETURN_RAMP_US);
  return RETURN_SHARE_MIN + (1 - RETURN_SHARE_MIN) * (double)elapsed_us / RETURN_RAMP_US;
}

guint
quince_zone_table_get_n_evacuated (const QuinceZoneTable *table)
{
  return table->n_evacuated;
}

GPtrArray *
quince_zone_table_list_evacuated (const QuinceZoneTable *table)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  gpointer state;
  g_hash_table_iter_init (&iter, table->zones);
  while (g_hash_table_iter_next (&iter, &name, &state))
    if (((const ZoneState *)state)->evacuated)
      g_ptr_array_add (names, name);
  quince_names_sort (names);
  return names;
}
