/*
 * scorer.c: stand-in of a service that scores samples.  The reward depends
 * on the text alone.
 */
#include <quince/http.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "standin.h"
#include "standins.h"

#define MAX_RECORDS 1000000
#define MAX_SAMPLE_ID 128
#define REWARD_STEPS 1000

typedef struct
{
  QuinceNetworkFaults network;
  guint64 fail_next; /* scores that are answered 500 */
} ScorerFaults;

static const QuinceFaultSpec scorer_faults[] = {
  QUINCE_NETWORK_FAULT_ROWS (ScorerFaults, network),
  { "fail_next", QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET (ScorerFaults, fail_next), NULL },
  { 0 },
};

typedef struct
{
  QuinceStandinFlags common;
  ScorerFaults faults;
  GHashTable *scored; /* sample id -> times scored, at most MAX_RECORDS */
  guint64 n_scored;
  guint64 n_failed;
} Scorer;

static void
count_score (Scorer *scorer, const char *sample_id)
{
  scorer->n_scored++;
  gpointer times = g_hash_table_lookup (scorer->scored, sample_id);
  if (times != NULL || g_hash_table_size (scorer->scored) < MAX_RECORDS)
    g_hash_table_replace (scorer->scored, g_strdup (sample_id),
                          GUINT_TO_POINTER (GPOINTER_TO_UINT (times) + 1));
}

static void
reply_score (Scorer *scorer, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  JsonObject *object = json_node_get_object (body);
  const char *sample_id = NULL;
  const char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (!quince_json_get_text (object, "sample_id", MAX_SAMPLE_ID, &sample_id, &error)
      || !quince_json_get_text (object, "text", QUINCE_STANDIN_MAX_TEXT, &text, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return;
    }
  if (scorer->faults.fail_next > 0)
    {
      scorer->faults.fail_next--;
      scorer->n_failed++;
      quince_http_reply_error (message, 500, "scorer_failed", "asked to fail", -1, -1);
      return;
    }
  count_score (scorer, sample_id);
  guint64 thousandths = quince_hash64 (text, strlen (text), 0) % REWARD_STEPS;
  quince_standin_reply_text (message, 200, g_strdup_printf ("{\"reward\":0.%03u}", (guint)thousandths));
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  if (g_str_equal (path, "/score") && soup_server_message_get_method (message) == SOUP_METHOD_POST)
    reply_score (self, message);
  else
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}

static char *
describe_records (gpointer self)
{
  Scorer *scorer = self;
  return g_strdup_printf ("{\"scored\":%" G_GUINT64_FORMAT ",\"failed\":%" G_GUINT64_FORMAT
                          ",\"samples\":%u}",
                          scorer->n_scored, scorer->n_failed, g_hash_table_size (scorer->scored));
}

static void
reset_scorer (gpointer self)
{
  Scorer *scorer = self;
  g_hash_table_remove_all (scorer->scored);
  scorer->n_scored = scorer->n_failed = 0;
}

static const QuinceStandinClass scorer_class = {
  .role = "scorer",
  .faults = scorer_faults,
  .handle = handle_request,
  .records = describe_records,
  .reset = reset_scorer,
};

int
quince_scorer_standin_run (int argc, char **argv)
{
  Scorer scorer = { 0 };
  quince_standin_flags_init (&scorer.common, "scorer");
  if (argp_parse (&quince_standin_argp, argc, argv, 0, NULL, &scorer.common) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  scorer.scored = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GError) error = NULL;
  QuinceStandin *standin
      = quince_standin_new (&scorer_class, &scorer.common, &scorer, &scorer.faults, &error);
  if (standin == NULL)
    return quince_standin_report_failure ("scorer", error);
  quince_standin_set_network_faults (standin, &scorer.faults.network);
  return quince_standin_run (standin, NULL);
}
