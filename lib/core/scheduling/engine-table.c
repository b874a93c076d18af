/*
 * engine-table.c: see engine-table.h.
 */
#include "engine-table.h"

/* Pause of an engine after a failure, doubled with each further one: 100 ms to 1.6 s. */
#define PAUSE_LEAST_US ((gint64)100 * G_TIME_SPAN_MILLISECOND)
#define PAUSE_MOST_DOUBLINGS 4
#define SMOOTHING 0.1 /* weight of the newest measurement             */
#define PEER_LOAD_STALE_US (10 * G_USEC_PER_SEC)
#define LEAVING_SIGNS_MOST 4096

/* Slots that another node holds; owned by the engine. */
typedef struct
{
  guint granted;
  gint64 heard_us;
} QuincePeerLoad;

struct _QuinceEngineTable
{
  char *zone;
  gint64 report_stale_us;
  GHashTable *engines;       /* name -> QuinceEngine, owned reference        */
  GHashTable *services;      /* service -> GPtrArray of QuinceEngine, borrowed */
  GHashTable *leaving_signs; /* name -> bits of sources other than the engine */
};

static void
free_engine (QuinceEngine *engine)
{
  g_free (engine->name);
  g_free (engine->address);
  g_free (engine->service);
  g_hash_table_unref (engine->peer_loads);
  g_free (engine);
}

QuinceEngine *
quince_engine_ref (QuinceEngine *engine)
{
  engine->references++;
  return engine;
}

void
quince_engine_unref (QuinceEngine *engine)
{
  if (--engine->references == 0)
    free_engine (engine);
}

QuinceEngineTable *
quince_engine_table_new (const char *zone, guint report_stale_ms)
{
  QuinceEngineTable *table = g_new0 (QuinceEngineTable, 1);
  table->zone = g_strdup (zone != NULL ? zone : "");
  table->report_stale_us = (gint64)report_stale_ms * 1000;
  table->engines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)quince_engine_unref);
  table->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  table->leaving_signs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return table;
}

void
quince_engine_table_free (QuinceEngineTable *table)
{
  g_hash_table_unref (table->services);
  g_hash_table_unref (table->engines);
  g_hash_table_unref (table->leaving_signs);
  g_free (table->zone);
  g_free (table);
}

/* ---- Reports ----------------------------------------------------------- */

static gboolean
report_is_valid (const QuinceEngineReport *report)
{
  return report->name != NULL && report->name[0] != '\0' && report->address != NULL && report->service != NULL
         && report->service[0] != '\0' && strlen (report->name) <= QUINCE_MAX_NAME
         && strlen (report->address) <= QUINCE_MAX_NAME && strlen (report->service) <= QUINCE_MAX_NAME;
}

static void
enter_service (QuinceEngineTable *table, QuinceEngine *engine)
{
  GPtrArray *engines = g_hash_table_lookup (table->services, engine->service);
  if (engines == NULL)
    {
      engines = g_ptr_array_new ();
      g_hash_table_insert (table->services, g_strdup (engine->service), engines);
    }
  g_ptr_array_add (engines, engine);
}

/* Leaves the empty list of a service in place: its queue refers to it. */
static void
leave_service (QuinceEngineTable *table, QuinceEngine *engine)
{
  GPtrArray *engines = g_hash_table_lookup (table->services, engine->service);
  if (engines != NULL)
    g_ptr_array_remove_fast (engines, engine);
}

static QuinceEngine *
create_engine (QuinceEngineTable *table, const QuinceEngineReport *report)
{
  QuinceEngine *engine = g_new0 (QuinceEngine, 1);
  engine->references = 1;
  engine->name = g_strdup (report->name);
  engine->address = g_strdup (report->address);
  engine->service = g_strdup (report->service);
  engine->peer_loads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  engine->prefix_slot = -1;
  engine->leaving = GPOINTER_TO_UINT (g_hash_table_lookup (table->leaving_signs, report->name));
  g_hash_table_insert (table->engines, engine->name, engine);
  enter_service (table, engine);
  return engine;
}

static void
set_text (char **text, const char *value)
{
  if (strcmp (*text, value) == 0)
    return;
  g_free (*text);
  *text = g_strdup (value);
}

static void
set_peer_load (QuinceEngine *engine, QuincePeerLoad *load, guint granted)
{
  engine->peers += granted - load->granted;
  engine->holders += (granted > 0) - (load->granted > 0);
  load->granted = granted;
}

/* Loads of nodes that fell silent are dropped. */
static void
drop_stale_peers (QuinceEngine *engine, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engine->peer_loads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuincePeerLoad *load = value;
      if (now_us - load->heard_us <= PEER_LOAD_STALE_US)
        continue;
      set_peer_load (engine, load, 0);
      g_hash_table_iter_remove (&iter);
    }
}

/* A report lags: it clears the engine's own sign only when no caller has
 * heard that sign lately. */
static void
take_own_leaving_sign (QuinceEngineTable *table, QuinceEngine *engine, gint64 now_us, gboolean leaving)
{
  gboolean heard_lately
      = engine->leaving_heard_us != 0 && now_us - engine->leaving_heard_us < table->report_stale_us;
  if (leaving)
    engine->leaving |= QUINCE_LEAVING_ENGINE;
  else if (!heard_lately)
    engine->leaving &= ~(guint)QUINCE_LEAVING_ENGINE;
}

QuinceEngine *
quince_engine_table_report (QuinceEngineTable *table,
                            gint64 now_us,
                            const QuinceEngineReport *report,
                            gboolean *created)
{
  if (!report_is_valid (report))
    return NULL;
  QuinceEngine *engine = g_hash_table_lookup (table->engines, report->name);
  *created = engine == NULL;
  if (engine == NULL && g_hash_table_size (table->engines) >= QUINCE_MAX_ENGINES)
    return NULL;
  if (engine == NULL)
    engine = create_engine (table, report);
  if (strcmp (engine->service, report->service) != 0)
    {
      leave_service (table, engine);
      set_text (&engine->service, report->service);
      enter_service (table, engine);
    }
  set_text (&engine->address, report->address);
  engine->running = report->running;
  engine->waiting = report->waiting;
  engine->capacity = report->capacity;
  engine->weight_version = report->weight_version;
  engine->target_version = report->target_version;
  engine->same_zone = g_strcmp0 (report->zone, table->zone) == 0;
  engine->available = report->available;
  engine->reported_us = now_us;
  engine->reports++;
  engine->granted_since_report = 0;
  engine->ended_since_report = 0;
  take_own_leaving_sign (table, engine, now_us, report->leaving);
  drop_stale_peers (engine, now_us);
  return engine;
}

void
quince_engine_table_leaving (QuinceEngineTable *table,
                             gint64 now_us,
                             const char *name,
                             QuinceLeavingSource source,
                             gboolean leaving)
{
  QuinceEngine *engine = g_hash_table_lookup (table->engines, name);
  if (engine != NULL)
    {
      engine->leaving = leaving ? engine->leaving | source : engine->leaving & ~(guint)source;
      if (source == QUINCE_LEAVING_ENGINE)
        engine->leaving_heard_us = leaving ? now_us : 0;
    }
  if (source == QUINCE_LEAVING_ENGINE)
    return;
  guint signs = GPOINTER_TO_UINT (g_hash_table_lookup (table->leaving_signs, name));
  signs = leaving ? signs | source : signs & ~(guint)source;
  if (signs == 0)
    g_hash_table_remove (table->leaving_signs, name);
  else if (g_hash_table_size (table->leaving_signs) < LEAVING_SIGNS_MOST
           || g_hash_table_contains (table->leaving_signs, name))
    g_hash_table_replace (table->leaving_signs, g_strdup (name), GUINT_TO_POINTER (signs));
}

void
quince_engine_table_remove (QuinceEngineTable *table, const char *name)
{
  QuinceEngine *engine = g_hash_table_lookup (table->engines, name);
  if (engine == NULL)
    return;
  leave_service (table, engine);
  engine->available = FALSE;
  g_hash_table_remove (table->engines, name);
}

/* ---- Other nodes --------------------------------------------------------- */

void
quince_engine_table_peer_load (QuinceEngineTable *table,
                               gint64 now_us,
                               const char *node,
                               const char *name,
                               guint granted)
{
  QuinceEngine *engine = g_hash_table_lookup (table->engines, name);
  if (engine == NULL)
    return;
  QuincePeerLoad *load = g_hash_table_lookup (engine->peer_loads, node);
  if (load == NULL && g_hash_table_size (engine->peer_loads) >= QUINCE_MAX_MEMBERS)
    return;
  if (load == NULL)
    {
      load = g_new0 (QuincePeerLoad, 1);
      g_hash_table_insert (engine->peer_loads, g_strdup (node), load);
    }
  set_peer_load (engine, load, MIN (granted, G_MAXUINT16));
  load->heard_us = now_us;
}

void
quince_engine_table_peer_gone (QuinceEngineTable *table, const char *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceEngine *engine = value;
      QuincePeerLoad *load = g_hash_table_lookup (engine->peer_loads, node);
      if (load == NULL)
        continue;
      set_peer_load (engine, load, 0);
      g_hash_table_remove (engine->peer_loads, node);
    }
}

/* ---- Reading ------------------------------------------------------------- */

QuinceEngine *
quince_engine_table_get (QuinceEngineTable *table, const char *name)
{
  return g_hash_table_lookup (table->engines, name);
}

const GPtrArray *
quince_engine_table_of_service (QuinceEngineTable *table, const char *service)
{
  return g_hash_table_lookup (table->services, service);
}

GHashTable *
quince_engine_table_all (QuinceEngineTable *table)
{
  return table->engines;
}

gboolean
quince_engine_is_serving (const QuinceEngine *engine)
{
  return engine->available && engine->leaving == 0 && engine->capacity > 0;
}

gboolean
quince_engine_table_usable (const QuinceEngineTable *table, const QuinceEngine *engine, gint64 now_us)
{
  return quince_engine_is_serving (engine) && now_us - engine->reported_us <= table->report_stale_us;
}

guint
quince_engine_held (const QuinceEngine *engine)
{
  guint reported = engine->running + engine->waiting;
  guint recent = engine->outstanding - engine->overdue;
  guint explained = recent + engine->peers;
  guint unexplained = reported > explained ? reported - explained : 0;
  return recent + MIN (engine->overdue, unexplained);
}

guint
quince_engine_used (const QuinceEngine *engine)
{
  guint known = quince_engine_held (engine) + engine->peers;
  gint64 reported
      = (gint64)engine->running + engine->waiting + engine->granted_since_report - engine->ended_since_report;
  return (guint)CLAMP (reported, known, G_MAXINT);
}

guint
quince_engine_free_slots (const QuinceEngine *engine)
{
  guint used = quince_engine_used (engine);
  return used < engine->capacity ? engine->capacity - used : 0;
}

gboolean
quince_engine_off_target (const QuinceEngine *engine)
{
  return engine->target_version != 0 && engine->weight_version != engine->target_version;
}

/* ---- Grants and measurements ----------------------------------------------- */

guint64
quince_engine_granted (QuinceEngine *engine, double prefix_match)
{
  engine->outstanding++;
  engine->granted_since_report++;
  engine->hit_rate += SMOOTHING * (prefix_match - engine->hit_rate);
  return engine->reports;
}

void
quince_engine_ended (QuinceEngine *engine, guint64 granted_at_report, gboolean dispatched)
{
  engine->outstanding--;
  if (granted_at_report == engine->reports)
    engine->granted_since_report--;
  else if (dispatched)
    engine->ended_since_report++;
}

void
quince_engine_overdue (QuinceEngine *engine)
{
  engine->overdue++;
}

/* Whether it ran is unknown, so what the report says is left as it is. */
void
quince_engine_overdue_ended (QuinceEngine *engine)
{
  engine->overdue--;
  engine->outstanding--;
}

void
quince_engine_served (QuinceEngine *engine, guint service_ms)
{
  engine->failures_in_row = 0;
  if (engine->service_ms == 0)
    engine->service_ms = MAX (service_ms, 1);
  else
    engine->service_ms += SMOOTHING * (service_ms - engine->service_ms);
}

void
quince_engine_failed (QuinceEngine *engine, gint64 now_us)
{
  gint64 second = now_us / G_USEC_PER_SEC;
  guint bucket = (guint)(second % QUINCE_FAILURE_BUCKETS);
  if (engine->failure_second[bucket] != second)
    engine->failures[bucket] = 0;
  engine->failure_second[bucket] = second;
  engine->failures[bucket]++;
  guint doublings = MIN (engine->failures_in_row, PAUSE_MOST_DOUBLINGS);
  engine->failures_in_row++;
  engine->paused_until_us = now_us + (PAUSE_LEAST_US << doublings);
}

guint
quince_engine_recent_failures (const QuinceEngine *engine, gint64 now_us)
{
  gint64 second = now_us / G_USEC_PER_SEC;
  guint failures = 0;
  for (guint bucket = 0; bucket < QUINCE_FAILURE_BUCKETS; bucket++)
    if (second - engine->failure_second[bucket] < QUINCE_FAILURE_BUCKETS)
      failures += engine->failures[bucket];
  return failures;
}
