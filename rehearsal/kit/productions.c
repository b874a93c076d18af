/*
 * productions.c: see productions.h.
 */
#include "productions.h"

#include "http-sync.h"
#include "judge.h"

/* Tokens [first, end) of one sequence. */
typedef struct
{
  gint64 first;
  gint64 end;
} TokenRange;

struct _QuinceProductions
{
  GHashTable *ranges; /* "hash/engine/version" -> GArray of TokenRange, both owned */
  guint missing;
};

/* An engine while its records are read. */
typedef struct
{
  QuinceProductions *productions;
  const char *engine;
} Reading;

static char *
make_key (const char *prompt_hash, const char *engine, gint64 version)
{
  return g_strdup_printf ("%s/%s/%" G_GINT64_FORMAT, prompt_hash, engine, version);
}

static void
add_row (JsonArray *array, guint index, JsonNode *row, gpointer data)
{
  Reading *reading = data;
  GHashTable *ranges = reading->productions->ranges;
  gint64 first = quince_json_dig_int (row, "first_token", 0);
  TokenRange range = { .first = first, .end = first + quince_json_dig_int (row, "token_count", 0) };
  g_autofree char *key = make_key (quince_json_dig_text (row, "prompt_hash", ""), reading->engine,
                                   quince_json_dig_int (row, "weight_version", -1));
  GArray *known = g_hash_table_lookup (ranges, key);
  if (known == NULL)
    {
      known = g_array_new (FALSE, FALSE, sizeof (TokenRange));
      g_hash_table_insert (ranges, g_steal_pointer (&key), known);
    }
  g_array_append_val (known, range);
}

static void
add_records (JsonNode *records, gpointer data)
{
  JsonArray *rows = quince_json_dig_array (records, "productions");
  if (rows != NULL)
    json_array_foreach_element (rows, add_row, data);
}

QuinceProductions *
quince_productions_collect (QuinceCluster *cluster)
{
  QuinceProductions *productions = g_new0 (QuinceProductions, 1);
  productions->ranges
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
  QuinceClusterPart *engine;
  for (guint i = 0; (engine = quince_cluster_get (cluster, QUINCE_PART_ENGINE, i)) != NULL; i++)
    {
      Reading reading = { .productions = productions, .engine = engine->name };
      productions->missing += quince_engine_foreach_records (cluster, engine, add_records, &reading);
    }
  return productions;
}

void
quince_productions_free (QuinceProductions *productions)
{
  g_hash_table_unref (productions->ranges);
  g_free (productions);
}

guint
quince_productions_count_missing (const QuinceProductions *productions)
{
  return productions->missing;
}

/* The end of what @ranges hold from @token on without a gap. */
static gint64
extend (const GArray *ranges, gint64 token)
{
  gint64 before;
  do
    {
      before = token;
      for (guint i = 0; i < ranges->len; i++)
        {
          const TokenRange *range = &g_array_index (ranges, TokenRange, i);
          if (range->first <= token)
            token = MAX (token, range->end);
        }
    }
  while (token > before);
  return token;
}

gboolean
quince_productions_cover (const QuinceProductions *productions, const char *prompt_hash, JsonArray *segments)
{
  for (guint i = 0; i < json_array_get_length (segments); i++)
    {
      JsonNode *segment = json_array_get_element (segments, i);
      gint64 first = quince_json_dig_int (segment, "first_token", 0);
      gint64 end = first + quince_json_dig_int (segment, "token_count", 0);
      g_autofree char *key = make_key (prompt_hash, quince_json_dig_text (segment, "engine", ""),
                                       quince_json_dig_int (segment, "weight_version", -1));
      const GArray *ranges = g_hash_table_lookup (productions->ranges, key);
      if (ranges == NULL || extend (ranges, first) < end)
        return FALSE;
    }
  return json_array_get_length (segments) > 0;
}
