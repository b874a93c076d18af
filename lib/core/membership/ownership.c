/*
 * ownership.c: see quince/ownership.h.
 */
#include <quince/ownership.h>

#include <string.h>

#include <quince/request-id.h>

/* Nodes that poll an engine: its owner and its spare. */
#define POLLERS 2
/* A follower never polls by itself before this age, */
#define FOLLOW_LEAST_US ((gint64)1200 * G_TIME_SPAN_MILLISECOND)
/* and beyond one poll and one and a half rounds it allows for so much delay. */
#define FOLLOW_SLACK_US ((gint64)100 * G_TIME_SPAN_MILLISECOND)

typedef struct
{
  char *service; /* owned                                                  */
  guint64 key;   /* of the engine in rendezvous hashing                    */
  guint64 score; /* of the engine for this zone, among those of other zones */
  gboolean foreign;
  QuinceDuty duty; /* valid while the ownership is not changed              */
} Engine;

struct _QuinceOwnership
{
  char *self;
  guint64 zone_key;
  char *zone;
  guint foreign_most;
  GHashTable *nodes;   /* owned set: the others' names                       */
  GHashTable *engines; /* owned: name -> Engine                              */
  gboolean changed;    /* duties have to be worked out anew                  */
};

static void
engine_free (gpointer data)
{
  Engine *engine = data;
  g_free (engine->service);
  g_free (engine);
}

static guint64
key_of (const char *name)
{
  return quince_hash64 (name, strlen (name), 0);
}

QuinceOwnership *
quince_ownership_new (const char *self, const char *zone, guint foreign_most)
{
  QuinceOwnership *ownership = g_new0 (QuinceOwnership, 1);
  ownership->self = g_strdup (self);
  ownership->zone = g_strdup (zone);
  ownership->zone_key = key_of (zone);
  ownership->foreign_most = foreign_most;
  ownership->nodes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ownership->engines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, engine_free);
  return ownership;
}

void
quince_ownership_free (QuinceOwnership *ownership)
{
  if (ownership == NULL)
    return;
  g_hash_table_unref (ownership->nodes);
  g_hash_table_unref (ownership->engines);
  g_free (ownership->self);
  g_free (ownership->zone);
  g_free (ownership);
}

void
quince_ownership_set_nodes (QuinceOwnership *ownership, const GPtrArray *names)
{
  g_autoptr (GHashTable) nodes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint known = 0;
  for (guint i = 0; i < names->len; i++)
    if (strcmp (names->pdata[i], ownership->self) != 0
        && g_hash_table_add (nodes, g_strdup (names->pdata[i])))
      known += quince_ownership_has_node (ownership, names->pdata[i]) ? 1 : 0;
  if (known == g_hash_table_size (nodes) && known == g_hash_table_size (ownership->nodes))
    return;
  g_hash_table_unref (ownership->nodes);
  ownership->nodes = g_steal_pointer (&nodes);
  ownership->changed = TRUE;
}

gboolean
quince_ownership_has_node (const QuinceOwnership *ownership, const char *node)
{
  return g_hash_table_contains (ownership->nodes, node);
}

void
quince_ownership_add_engine (QuinceOwnership *ownership,
                             const char *name,
                             const char *service,
                             const char *zone)
{
  Engine *engine = g_new0 (Engine, 1);
  engine->service = g_strdup (service);
  engine->key = key_of (name);
  engine->score = quince_rendezvous_score (ownership->zone_key, name);
  engine->foreign = strcmp (zone, ownership->zone) != 0;
  g_hash_table_replace (ownership->engines, g_strdup (name), engine);
  ownership->changed = TRUE;
}

void
quince_ownership_remove_engine (QuinceOwnership *ownership, const char *engine)
{
  if (g_hash_table_remove (ownership->engines, engine))
    ownership->changed = TRUE;
}

/* ---- Duties --------------------------------------------------------------- */

/* By how many of the zone's nodes, this one included, the engine is polled before this one. */
static QuinceDuty
rank (const QuinceOwnership *ownership, const Engine *engine)
{
  guint64 own_score = quince_rendezvous_score (engine->key, ownership->self);
  guint before = 0;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, ownership->nodes);
  while (before < POLLERS && g_hash_table_iter_next (&iter, &name, NULL))
    {
      guint64 score = quince_rendezvous_score (engine->key, name);
      if (score > own_score || (score == own_score && strcmp (name, ownership->self) < 0))
        before++;
    }
  if (before == 0)
    return QUINCE_DUTY_OWN;
  return before < POLLERS ? QUINCE_DUTY_SPARE : QUINCE_DUTY_FOLLOW;
}

/* Services together, the greatest scores first. */
static int
compare_foreign (gconstpointer a, gconstpointer b)
{
  const Engine *first = *(const Engine *const *)a, *second = *(const Engine *const *)b;
  int services = strcmp (first->service, second->service);
  if (services != 0)
    return services;
  return (first->score < second->score) - (first->score > second->score);
}

/* Takes the duty from all but the first few engines of each service. */
static void
limit_foreign (const QuinceOwnership *ownership, GPtrArray *foreign)
{
  guint used = 0;
  g_ptr_array_sort (foreign, compare_foreign);
  for (guint i = 0; i < foreign->len; i++)
    {
      Engine *engine = foreign->pdata[i];
      const Engine *before = i > 0 ? foreign->pdata[i - 1] : NULL;
      if (before == NULL || strcmp (before->service, engine->service) != 0)
        used = 0;
      engine->duty = used++ < ownership->foreign_most ? rank (ownership, engine) : QUINCE_DUTY_NONE;
    }
}

static void
assign (QuinceOwnership *ownership)
{
  g_autoptr (GPtrArray) foreign = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ownership->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Engine *engine = value;
      if (engine->foreign)
        g_ptr_array_add (foreign, engine);
      else
        engine->duty = rank (ownership, engine);
    }
  limit_foreign (ownership, foreign);
  ownership->changed = FALSE;
}

QuinceDuty
quince_ownership_get_duty (QuinceOwnership *ownership, const char *name)
{
  if (ownership->changed)
    assign (ownership);
  const Engine *engine = g_hash_table_lookup (ownership->engines, name);
  return engine != NULL ? engine->duty : QUINCE_DUTY_NONE;
}

gint64
quince_ownership_follow_bound_us (gint64 poll_interval_us, gint64 round_us, gint64 most_us)
{
  gint64 bound_us = poll_interval_us + round_us + round_us / 2 + FOLLOW_SLACK_US;
  return MIN (MAX (bound_us, FOLLOW_LEAST_US), most_us);
}
