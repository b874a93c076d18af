/*
 * engine-records.c: what the engine stand-in truly ran, in bounded memory.
 */
#include "engine.h"

#include <string.h>

#define MAX_RECORDS 1000000

typedef struct
{
  char id[ENGINE_ID_LENGTH + 1];
  guint32 attempt;
  guint64 prompt_hash;
  guint64 first_version;
  gint64 time_us;
  guint32 resumed;         /* tokens that were made elsewhere */
  guint32 tokens;          /* finishes only */
  SequenceOutcome outcome; /* finishes only */
} Record;

/* A run of tokens that one sequence got under one version. */
typedef struct
{
  char id[ENGINE_ID_LENGTH + 1];
  guint64 prompt_hash;
  guint64 version;
  guint32 first_token;
  guint32 token_count;
} Production;

struct _EngineRecords
{
  GArray *starts;      /* Record, at most MAX_RECORDS */
  GArray *finishes;    /* Record, at most MAX_RECORDS */
  GArray *productions; /* Production, at most MAX_RECORDS */
  guint64 started;     /* all, kept or not            */
  guint64 blocks_seen; /* prompt blocks of all that started */
  guint64 blocks_hit;  /* of them, those that the cache held */
  guint64 finished[N_OUTCOMES];
};

static const char *const outcome_names[N_OUTCOMES]
    = { "finished", "cancelled", "disconnected", "swap", "cut", "crashed" };

EngineRecords *
engine_records_new (void)
{
  EngineRecords *records = g_new0 (EngineRecords, 1);
  records->starts = g_array_new (FALSE, FALSE, sizeof (Record));
  records->finishes = g_array_new (FALSE, FALSE, sizeof (Record));
  records->productions = g_array_new (FALSE, FALSE, sizeof (Production));
  return records;
}

void
engine_records_free (EngineRecords *records)
{
  g_array_unref (records->starts);
  g_array_unref (records->finishes);
  g_array_unref (records->productions);
  g_free (records);
}

void
engine_records_clear (EngineRecords *records)
{
  g_array_set_size (records->starts, 0);
  g_array_set_size (records->finishes, 0);
  g_array_set_size (records->productions, 0);
  records->started = records->blocks_seen = records->blocks_hit = 0;
  memset (records->finished, 0, sizeof records->finished);
}

static Record
make_record (const Sequence *sequence, gint64 time_us)
{
  Record record = { .attempt = sequence->attempt,
                    .prompt_hash = sequence->prompt_hash,
                    .first_version = sequence->first_version,
                    .resumed = sequence->resumed_tokens,
                    .time_us = time_us };
  g_strlcpy (record.id, sequence->id, sizeof record.id);
  return record;
}

void
engine_records_add_start (EngineRecords *records, const Sequence *sequence)
{
  records->started++;
  if (records->starts->len >= MAX_RECORDS)
    return;
  Record record = make_record (sequence, sequence->started_us);
  g_array_append_val (records->starts, record);
}

void
engine_records_add_blocks (EngineRecords *records, guint32 seen, guint32 hit)
{
  records->blocks_seen += seen;
  records->blocks_hit += hit;
}

void
engine_records_add_finish (EngineRecords *records,
                           const Sequence *sequence,
                           SequenceOutcome outcome,
                           gint64 now_us)
{
  records->finished[outcome]++;
  if (records->finishes->len >= MAX_RECORDS)
    return;
  Record record = make_record (sequence, now_us);
  record.tokens = sequence->sent_tokens - sequence->resumed_tokens;
  record.outcome = outcome;
  g_array_append_val (records->finishes, record);
}

/* The newest run of @sequence, when it goes on at @first under @version. */
static Production *
find_production (EngineRecords *records, const Sequence *sequence, guint32 first, guint64 version)
{
  if (sequence->production == 0 || sequence->production > records->productions->len)
    return NULL;
  Production *newest = &g_array_index (records->productions, Production, sequence->production - 1);
  gboolean goes_on = newest->version == version && newest->first_token + newest->token_count == first
                     && g_str_equal (newest->id, sequence->id);
  return goes_on ? newest : NULL;
}

void
engine_records_add_tokens (EngineRecords *records,
                           Sequence *sequence,
                           guint32 first,
                           guint32 count,
                           guint64 version)
{
  Production *newest = find_production (records, sequence, first, version);
  if (newest != NULL)
    newest->token_count += count;
  if (newest != NULL || count == 0 || records->productions->len >= MAX_RECORDS)
    return;
  Production production = {
    .prompt_hash = sequence->prompt_hash, .version = version, .first_token = first, .token_count = count
  };
  g_strlcpy (production.id, sequence->id, sizeof production.id);
  g_array_append_val (records->productions, production);
  sequence->production = records->productions->len;
}

static void
append_record (GString *text, const Record *record, gboolean finish)
{
  /* Ids were checked to need no escape when they were taken. */
  g_string_append_printf (text,
                          "{\"request_id\":\"%s\",\"attempt\":%u,\"prompt_hash\":\"%016" G_GINT64_MODIFIER
                          "x\",\"weight_version\":%" G_GUINT64_FORMAT ",\"time_ms\":%" G_GINT64_FORMAT,
                          record->id, record->attempt, record->prompt_hash, record->first_version,
                          record->time_us / 1000);
  if (finish)
    g_string_append_printf (text, ",\"resumed\":%u,\"tokens\":%u,\"outcome\":\"%s\"", record->resumed,
                            record->tokens, outcome_names[record->outcome]);
  g_string_append_c (text, '}');
}

static void
append_records (GString *text, const GArray *array, gboolean finish)
{
  for (guint i = 0; i < array->len; i++)
    {
      if (i > 0)
        g_string_append_c (text, ',');
      append_record (text, &g_array_index (array, Record, i), finish);
    }
}

static void
append_productions (GString *text, const GArray *array)
{
  for (guint i = 0; i < array->len; i++)
    {
      const Production *production = &g_array_index (array, Production, i);
      g_string_append_printf (text,
                              "%s{\"request_id\":\"%s\",\"prompt_hash\":\"%016" G_GINT64_MODIFIER
                              "x\",\"weight_version\":%" G_GUINT64_FORMAT
                              ",\"first_token\":%u,\"token_count\":%u}",
                              i > 0 ? "," : "", production->id, production->prompt_hash, production->version,
                              production->first_token, production->token_count);
    }
}

char *
engine_records_describe (EngineRecords *records, guint64 refused, guint64 stale_fences)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "{\"started\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
                          ",\"stale_fences\":%" G_GUINT64_FORMAT ",\"blocks_seen\":%" G_GUINT64_FORMAT
                          ",\"blocks_hit\":%" G_GUINT64_FORMAT,
                          records->started, refused, stale_fences, records->blocks_seen, records->blocks_hit);
  g_string_append (text, ",\"outcomes\":{");
  for (guint i = 0; i < N_OUTCOMES; i++)
    g_string_append_printf (text, "%s\"%s\":%" G_GUINT64_FORMAT, i > 0 ? "," : "", outcome_names[i],
                            records->finished[i]);
  g_string_append (text, "},\"starts\":[");
  append_records (text, records->starts, FALSE);
  g_string_append (text, "],\"finishes\":[");
  append_records (text, records->finishes, TRUE);
  g_string_append (text, "],\"productions\":[");
  append_productions (text, records->productions);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}
