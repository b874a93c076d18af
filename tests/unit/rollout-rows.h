/*
 * rollout-rows.h: commands of a rollout book in short form, for its tests.
 *
 * Every command is applied to the book and to a reloaded copy of it, and
 * peeked before: the three must agree.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "../../lib/core/rollouts/book-private.h"

/* One command in short form. */
typedef struct
{
  char kind;        /* S submit, C complete, P pull, R release, K claim, U unclaim */
  const char *name; /* trainer; K, U: request id, "x" or "x@creation time" */
  guint64 step;     /* K, U: holder                                        */
  const char *ids;  /* S: rollout id, then sample ids; C: sample id; K: "" */
  guint64 number;   /* S: staleness bound; C: generation; K: keep_ms       */
  guint64 version;  /* C: of the tokens; P: of the trainer; K, U: stamp    */
  QuinceLedgerStatus status;
  guint ready, total; /* P                                                   */
} Row;

/* ---- Commands ---------------------------------------------------------- */

static inline void
fill_submit (QuinceSubmitRollout *submit, const Row *row)
{
  g_auto (GStrv) ids = g_strsplit (row->ids, " ", -1);

  submit->trainer = quince_string (row->name);
  submit->rollout_id = quince_string (ids[0]);
  submit->service = quince_string ("rank-lm");
  submit->member = quince_string ("m");
  submit->step = row->step;
  submit->staleness_bound = row->number;
  submit->samples.samples_len = g_strv_length (ids) - 1;
  submit->samples.samples_val = g_new0 (QuinceSampleSpec, submit->samples.samples_len);
  for (guint i = 0; i < submit->samples.samples_len; i++)
    {
      /* "id" or "id:expected tokens" */
      g_auto (GStrv) parts = g_strsplit (ids[i + 1], ":", 2);
      QuinceSampleSpec *spec = &submit->samples.samples_val[i];
      spec->sample_id = quince_string (parts[0]);
      spec->prompt = quince_string (ids[i + 1]);
      spec->max_tokens = 100;
      spec->expected_tokens = parts[1] != NULL ? g_ascii_strtoull (parts[1], NULL, 10) : 0;
    }
}

/* Two segments, the older one of @row->version (none for the greatest number); the text names sample,
 * generation and version. */
static inline void
fill_complete (QuinceCompleteSample *complete, const Row *row)
{
  QuinceSampleResult *result = &complete->result;

  complete->trainer = quince_string (row->name);
  complete->step = row->step;
  complete->generation = row->number;
  result->sample_id = quince_string (row->ids);
  result->text
      = g_strdup_printf ("%s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, row->ids, row->number, row->version);
  result->token_count = 3;
  result->segments.segments_len = row->version == G_MAXUINT64 ? 0 : 2;
  result->segments.segments_val = g_new0 (QuinceSegment, 2);
  for (guint i = 0; i < result->segments.segments_len; i++)
    result->segments.segments_val[i] = (QuinceSegment){ .engine = quince_string ("e"),
                                                        .weight_version = row->version + 1 - i,
                                                        .first_token = i,
                                                        .token_count = 1 + i };
}

static inline void
fill_request_id (char *id, const char *name)
{
  const char *at = strchr (name, '@');
  guint64 created_ms = at != NULL ? g_ascii_strtoull (at + 1, NULL, 10) : 0;

  for (guint i = 0; i < 6; i++)
    id[i] = (char)(created_ms >> (8 * (5 - i)));
  id[QUINCE_ID_BYTES - 1] = name[0];
}

static inline QuinceLedgerRecord *
new_record (const Row *row)
{
  QuinceLedgerRecord *record = g_new0 (QuinceLedgerRecord, 1);
  QuinceCommand *command = &record->command;

  switch (row->kind)
    {
    case 'S':
      command->kind = QUINCE_COMMAND_SUBMIT;
      fill_submit (&command->QuinceCommand_u.submit, row);
      break;
    case 'C':
      command->kind = QUINCE_COMMAND_COMPLETE;
      fill_complete (&command->QuinceCommand_u.complete, row);
      break;
    case 'P':
      command->kind = QUINCE_COMMAND_PULL;
      command->QuinceCommand_u.pull = (QuincePullStep){ quince_string (row->name), row->step, row->version };
      break;
    case 'R':
      command->kind = QUINCE_COMMAND_RELEASE;
      command->QuinceCommand_u.release = (QuinceReleaseStep){ quince_string (row->name), row->step };
      break;
    case 'K':
      command->kind = QUINCE_COMMAND_CLAIM;
      command->QuinceCommand_u.claim = (QuinceClaimRequest){ .holder = row->step, .keep_ms = row->number };
      fill_request_id (command->QuinceCommand_u.claim.request_id, row->name);
      record->leader_time_ms = row->version;
      break;
    case 'U':
      command->kind = QUINCE_COMMAND_UNCLAIM;
      command->QuinceCommand_u.unclaim = (QuinceUnclaimRequest){ .holder = row->step };
      fill_request_id (command->QuinceCommand_u.unclaim.request_id, row->name);
      record->leader_time_ms = row->version;
      break;
    default:
      g_assert_not_reached ();
    }
  return record;
}

static inline GBytes *
encode_reply (QuinceLedgerReply *reply)
{
  GBytes *bytes = quince_ledger_reply_encode (reply, NULL);

  assert_non_null (bytes);
  return bytes;
}

static inline void
assert_same_state (const QuinceRolloutBook *a, const QuinceRolloutBook *b)
{
  g_autoptr (GBytes) left = quince_rollout_book_save (a);
  g_autoptr (GBytes) right = quince_rollout_book_save (b);
  QuinceRolloutCounters counted_a, counted_b;

  assert_true (g_bytes_equal (left, right));
  quince_rollout_book_get_counters (a, &counted_a);
  quince_rollout_book_get_counters (b, &counted_b);
  counted_a.duplicates_dropped = counted_b.duplicates_dropped = 0; /* peeks count on one replica only */
  assert_memory_equal (&counted_a, &counted_b, sizeof counted_a);
  assert_int_equal (a->totals.bytes, b->totals.bytes);
}

static inline QuinceRolloutBook *
reload (const QuinceRolloutBook *book)
{
  g_autoptr (GBytes) saved = quince_rollout_book_save (book);
  g_autoptr (GError) error = NULL;
  QuinceRolloutBook *loaded
      = quince_rollout_book_load (g_bytes_get_data (saved, NULL), g_bytes_get_size (saved), &error);

  if (loaded == NULL)
    fail_msg ("%s", error->message);
  assert_same_state (book, loaded);
  return loaded;
}

/* Applies @row to @book and to a reloaded copy of it: both must agree with each other and with a peek.
 * Returns the reply, to be released with quince_ledger_reply_free(). */
static inline QuinceLedgerReply *
apply (QuinceRolloutBook *book, const Row *row)
{
  g_autoptr (QuinceLedgerRecord) record = new_record (row);
  g_autoptr (QuinceRolloutBook) copy = reload (book);
  g_autoptr (QuinceLedgerReply) copy_reply = g_new0 (QuinceLedgerReply, 1);
  g_autoptr (QuinceLedgerReply) peeked = g_new0 (QuinceLedgerReply, 1);
  QuinceLedgerReply *reply = g_new0 (QuinceLedgerReply, 1);
  gboolean answered = quince_rollout_book_peek (book, record->leader_time_ms, &record->command, peeked);
  g_autoptr (GBytes) bytes = NULL, copy_bytes = NULL, peeked_bytes = NULL;

  quince_rollout_book_apply (book, record, reply);
  quince_rollout_book_apply (copy, record, copy_reply);
  assert_same_state (book, copy);
  bytes = encode_reply (reply);
  copy_bytes = encode_reply (copy_reply);
  assert_true (g_bytes_equal (bytes, copy_bytes));
  if (!answered)
    return reply;
  peeked_bytes = encode_reply (peeked);
  assert_true (g_bytes_equal (bytes, peeked_bytes));
  return reply;
}

static inline void
run_row (QuinceRolloutBook *book, const Row *row)
{
  quince_ledger_reply_free (apply (book, row));
}

/* Leases at most @most samples and returns them as "trainer/step/id" joined by blanks. */
static inline char *
lease (QuinceRolloutBook *book, const char *agent, gint64 now_ms, guint most)
{
  QuinceLeaseSamples request = { (char *)agent, most, 100 };
  g_autoptr (QuinceLedgerReply) reply = g_new0 (QuinceLedgerReply, 1);
  g_autoptr (GString) text = g_string_new ("");

  quince_rollout_book_lease (book, now_ms, &request, reply);
  for (guint i = 0; i < reply->result.QuinceLedgerResult_u.leased.leased_len; i++)
    {
      const QuinceLeasedSample *leased = &reply->result.QuinceLedgerResult_u.leased.leased_val[i];
      g_string_append_printf (text, "%s%s/%d/%s:%d>%d", i > 0 ? " " : "", leased->trainer, (int)leased->step,
                              leased->spec.sample_id, leased->generation, (int)leased->min_version);
    }
  return g_string_free (g_steal_pointer (&text), FALSE);
}
