/*
 * test-rollout-book.c: rollouts, steps, leases and claims, and their saved form.
 */
#include "../../lib/core/rollouts/generated/rollout_state.h"
#include "rollout-rows.h"

#include <string.h>

enum
{
  ROWS_MOST = 16,
};

/* ---- Tables ------------------------------------------------------------ */

typedef struct
{
  const char *name;
  Row rows[ROWS_MOST];
} Case;

/* clang-format off */
#define SUBMIT(t, step, ids, bound, status)                { 'S', t, step, ids, bound, 0, QUINCE_LEDGER_##status }
#define COMPLETE(t, step, id, generation, version, status) { 'C', t, step, id, generation, version, QUINCE_LEDGER_##status }
#define PULL(t, step, version, status, ready, total)       { 'P', t, step, "", 0, version, QUINCE_LEDGER_##status, ready, total }
#define RELEASE(t, step, status)                           { 'R', t, step, "", 0, 0, QUINCE_LEDGER_##status }
#define CLAIM(id, holder, keep, at, status)                { 'K', id, holder, "", keep, at, QUINCE_LEDGER_##status }
#define UNCLAIM(id, holder, at, status)                    { 'U', id, holder, "", 0, at, QUINCE_LEDGER_##status }

static const Case cases[] = {
  { "submit repeats and conflicts",
    { SUBMIT ("t", 1, "r1 a b", 2, OK), SUBMIT ("t", 1, "r1 a b", 2, OK), SUBMIT ("t", 1, "r1 a", 2, CONFLICT),
      SUBMIT ("t", 1, "r1 a b:5", 2, CONFLICT), SUBMIT ("t", 1, "r1 a b", 3, CONFLICT), SUBMIT ("t", 2, "r1 a b", 2, CONFLICT),
      SUBMIT ("t", 1, "r2 c b", 2, CONFLICT), SUBMIT ("t", 1, "r2 d d", 2, CONFLICT), PULL ("t", 1, 0, NOT_COMPLETE, 0, 2),
      SUBMIT ("t", 1, "r2 c", 2, OK), SUBMIT ("t", 2, "r3 a b", 2, OK), SUBMIT ("u", 1, "r1 a", 2, OK),
      PULL ("t", 1, 0, NOT_COMPLETE, 0, 3) } },
  { "first completion wins",
    { SUBMIT ("t", 1, "r a b", 0, OK), COMPLETE ("t", 1, "a", 1, 5, OK), COMPLETE ("t", 1, "a", 1, 6, OK),
      COMPLETE ("t", 1, "b", 2, 5, OK), PULL ("t", 1, 5, NOT_COMPLETE, 1, 2), COMPLETE ("t", 1, "c", 1, 5, NO_SUCH),
      COMPLETE ("t", 2, "a", 1, 5, NO_SUCH), COMPLETE ("u", 1, "a", 1, 5, NO_SUCH), COMPLETE ("t", 1, "b", 1, G_MAXUINT64, CONFLICT), COMPLETE ("t", 1, "b", 1, 5, OK),
      PULL ("t", 1, 5, OK, 2, 2), COMPLETE ("t", 1, "b", 1, 7, OK), RELEASE ("t", 1, OK), COMPLETE ("t", 1, "b", 1, 7, GONE) } },
  { "a frozen step takes no rollout",
    { SUBMIT ("t", 3, "r a", 0, OK), COMPLETE ("t", 3, "a", 1, 5, OK), PULL ("t", 3, 5, OK, 1, 1), SUBMIT ("t", 3, "r a", 0, OK),
      SUBMIT ("t", 3, "s b", 0, CONFLICT), SUBMIT ("t", 2, "s b", 0, CONFLICT), SUBMIT ("t", 4, "s b", 0, OK),
      RELEASE ("t", 3, OK), SUBMIT ("t", 3, "r a", 0, GONE), SUBMIT ("t", 2, "s b", 0, GONE), RELEASE ("t", 3, OK),
      SUBMIT ("t", 5, "r a", 0, OK), PULL ("t", 3, 5, GONE, 0, 0), PULL ("t", 2, 5, GONE, 0, 0), PULL ("t", 4, 5, NOT_COMPLETE, 0, 1) } },
  { "staleness at the first pull",
    { SUBMIT ("t", 1, "r a", 2, OK), SUBMIT ("t", 1, "s b", 9, OK), COMPLETE ("t", 1, "a", 1, 3, OK), COMPLETE ("t", 1, "b", 1, 3, OK),
      PULL ("t", 1, 6, NOT_COMPLETE, 1, 2), COMPLETE ("t", 1, "a", 1, 6, OK), PULL ("t", 1, 6, NOT_COMPLETE, 1, 2),
      COMPLETE ("t", 1, "a", 2, 4, OK), PULL ("t", 1, 6, OK, 2, 2) } },
  { "staleness at the bound and below it",
    { SUBMIT ("t", 1, "r a", 2, OK), COMPLETE ("t", 1, "a", 1, 0, OK), PULL ("t", 1, 2, OK, 1, 1), PULL ("t", 1, 3, NOT_COMPLETE, 0, 1) } },
  { "a repeat with a greater version opens the batch anew",
    { SUBMIT ("t", 1, "r a b", 1, OK), SUBMIT ("t", 2, "s c", 1, OK), COMPLETE ("t", 1, "a", 1, 5, OK), COMPLETE ("t", 1, "b", 1, 6, OK),
      PULL ("t", 1, 6, OK, 2, 2), PULL ("t", 1, 6, OK, 2, 2), PULL ("t", 1, 4, OK, 2, 2), PULL ("t", 1, 7, NOT_COMPLETE, 1, 2),
      PULL ("t", 1, 4, NOT_COMPLETE, 1, 2), RELEASE ("t", 1, CONFLICT), PULL ("t", 2, 7, CONFLICT, 0, 1),
      SUBMIT ("t", 1, "x d", 1, CONFLICT), COMPLETE ("t", 1, "a", 2, 5, OK), PULL ("t", 1, 4, NOT_COMPLETE, 1, 2),
      COMPLETE ("t", 1, "a", 3, 7, OK), PULL ("t", 1, 4, OK, 2, 2) } },
  { "a batch made anew must be pulled before it is released",
    { SUBMIT ("t", 1, "r a", 0, OK), SUBMIT ("t", 2, "s b", 0, OK), COMPLETE ("t", 1, "a", 1, 5, OK), PULL ("t", 1, 5, OK, 1, 1),
      PULL ("t", 1, 6, NOT_COMPLETE, 0, 1), COMPLETE ("t", 1, "a", 2, 6, OK), SUBMIT ("t", 1, "x c", 0, CONFLICT),
      RELEASE ("t", 1, CONFLICT), PULL ("t", 2, 6, CONFLICT, 0, 1), PULL ("t", 1, 6, OK, 1, 1), RELEASE ("t", 1, OK) } },
  { "steps are pulled in order, with gaps",
    { SUBMIT ("t", 2, "r a", 0, OK), SUBMIT ("t", 7, "s b", 0, OK), COMPLETE ("t", 2, "a", 1, 1, OK), COMPLETE ("t", 7, "b", 1, 1, OK),
      PULL ("t", 7, 1, CONFLICT, 1, 1), RELEASE ("t", 2, CONFLICT), RELEASE ("t", 7, CONFLICT), PULL ("t", 5, 1, NO_SUCH, 0, 0),
      PULL ("t", 2, 1, OK, 1, 1), PULL ("t", 5, 1, NO_SUCH, 0, 0), PULL ("t", 2, 1, OK, 1, 1), PULL ("t", 7, 1, OK, 1, 1),
      PULL ("t", 2, 1, GONE, 0, 0), SUBMIT ("t", 5, "u c", 0, CONFLICT), RELEASE ("t", 7, OK), SUBMIT ("t", 5, "u c", 0, GONE) } },
  { "a pull releases the step before also when not whole",
    { SUBMIT ("t", 1, "r a", 0, OK), SUBMIT ("t", 2, "s b", 0, OK), SUBMIT ("t", 3, "u c", 0, OK), COMPLETE ("t", 1, "a", 1, 1, OK),
      PULL ("t", 1, 1, OK, 1, 1), PULL ("t", 3, 1, CONFLICT, 0, 1), PULL ("t", 1, 1, OK, 1, 1), PULL ("t", 2, 1, NOT_COMPLETE, 0, 1),
      PULL ("t", 1, 1, GONE, 0, 0), PULL ("t", 3, 1, CONFLICT, 0, 1) } },
  { "the greatest step and version",
    { SUBMIT ("t", G_MAXUINT64, "r a", 1, OK), COMPLETE ("t", G_MAXUINT64, "a", 1, G_MAXUINT64 - 1, OK),
      PULL ("t", G_MAXUINT64, G_MAXUINT64, OK, 1, 1), RELEASE ("t", G_MAXUINT64, OK), SUBMIT ("t", 0, "s b", 1, GONE) } },
  { "unknown trainer and step",
    { PULL ("t", 1, 1, NO_SUCH, 0, 0), RELEASE ("t", 1, NO_SUCH), SUBMIT ("t", 1, "r", 0, OK), RELEASE ("t", 0, NO_SUCH),
      PULL ("t", 1, 1, OK, 0, 0) } },
  { "claims",
    { CLAIM ("x", 1, 100, 1000, OK), CLAIM ("x", 2, 100, 1099, DUPLICATE), CLAIM ("y", 2, 100, 1099, OK), CLAIM ("x", 2, 100, 1100, DUPLICATE),
      CLAIM ("x", 1, 100, 1100, OK), UNCLAIM ("x", 2, 1100, DUPLICATE), UNCLAIM ("x", 1, 1100, OK), UNCLAIM ("x", 1, 1100, OK),
      CLAIM ("x", 2, 100, 1100, OK), CLAIM ("x", 2, 100, 1150, OK), CLAIM ("x", 2, 10, 1160, OK), CLAIM ("x", 1, 100, 1249, DUPLICATE) } },
  { "an id whose claim is forgotten stays refused",
    { CLAIM ("x@7100", 1, 100, 8000, OK), CLAIM ("x@7100", 2, 100, 8100, DUPLICATE), CLAIM ("x@7100", 1, 100, 8100, DUPLICATE),
      CLAIM ("y@7999", 1, 100, 8100, DUPLICATE), CLAIM ("y@3", 1, 100, 8100, DUPLICATE), UNCLAIM ("x@7100", 1, 8100, OK),
      CLAIM ("x@7100", 3, 100, 8100, DUPLICATE), CLAIM ("y@8000", 1, 100, 8100, OK), CLAIM ("z@8050", 1, 100, 8100, OK) } },
  { "a clock that leaps frees no id",
    { CLAIM ("x@7100", 1, 60000, 8000, OK), CLAIM ("x@7100", 2, 60000, 864000000, DUPLICATE), CLAIM ("y@9000", 1, 60000, 864000000, OK),
      CLAIM ("y@9000", 2, 60000, 864000001, DUPLICATE), CLAIM ("z@8500", 1, 60000, 864000001, OK), CLAIM ("z@8500", 2, 1, 1728000000, DUPLICATE) } },
  { "an id from the future is kept until its time",
    { CLAIM ("x@5500", 1, 100, 1000, OK), CLAIM ("y@1000", 1, 100, 1200, OK), CLAIM ("x@5500", 2, 100, 5999, DUPLICATE), CLAIM ("z@5000", 1, 100, 5999, OK),
      CLAIM ("x@5500", 2, 100, 6099, DUPLICATE), CLAIM ("w@6000", 1, 100, 6099, OK) } },
  { "a stamp that goes back shortens no claim",
    { CLAIM ("x", 1, 100, 1000, OK), CLAIM ("y", 1, 100, 500, OK), CLAIM ("y", 2, 100, 1099, DUPLICATE), CLAIM ("x", 2, 100, 700, DUPLICATE),
      CLAIM ("z@9000", 1, G_MAXUINT, G_MAXUINT64 - 9, OK), CLAIM ("z@9000", 2, 1, G_MAXUINT64 - 1, DUPLICATE) } },
};
/* clang-format on */

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
      for (const Row *row = cases[i].rows; row < cases[i].rows + ROWS_MOST && row->kind != 0; row++)
        {
          g_autoptr (QuinceLedgerReply) reply = apply (book, row);
          const QuinceBatch *batch = &reply->result.QuinceLedgerResult_u.batch;
          if (reply->status != row->status)
            fail_msg ("%s: row %d: status %d", cases[i].name, (int)(row - cases[i].rows), reply->status);
          if (row->kind != 'P')
            continue;
          if (batch->ready != row->ready || batch->total != row->total
              || batch->results.results_len != (row->status == QUINCE_LEDGER_OK ? row->total : 0))
            fail_msg ("%s: row %d: %u of %u", cases[i].name, (int)(row - cases[i].rows), batch->ready,
                      batch->total);
        }
    }
}

static void
test_counters (void **state)
{
  const Row rows[] = {
    SUBMIT ("t", 1, "r a b", 0, OK),  SUBMIT ("u", 1, "r c", 0, OK),        COMPLETE ("t", 1, "a", 1, 5, OK),
    COMPLETE ("t", 1, "b", 1, 4, OK), PULL ("t", 1, 5, NOT_COMPLETE, 1, 2), COMPLETE ("t", 1, "b", 2, 5, OK),
    COMPLETE ("t", 1, "b", 2, 5, OK), PULL ("t", 1, 5, OK, 2, 2),           RELEASE ("t", 1, OK),
    CLAIM ("x", 1, 10, 10, OK)
  };
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  const QuinceRolloutCounters want = { .trainers = 2,
                                       .rollouts = 1,
                                       .samples_open = 1,
                                       .delivered = 2,
                                       .duplicates_dropped = 1,
                                       .regenerated = 1,
                                       .claims = 1 };
  QuinceRolloutCounters counters;

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (QuinceLedgerRecord) record = new_record (&rows[i]);
      quince_rollout_book_apply (book, record, NULL);
    }
  quince_rollout_book_get_counters (book, &counters);
  assert_memory_equal (&counters, &want, sizeof want);
}

/* ---- Leases ------------------------------------------------------------ */

static void
renew (QuinceRolloutBook *book, const char *agent, gint64 now_ms, const char *sample, guint generation)
{
  QuinceLeaseRef ref = { "t", 1, (char *)sample, generation };
  QuinceRenewLeases request = { (char *)agent, 100, { 1, &ref } };

  quince_rollout_book_renew (book, now_ms, &request);
}

static void
assert_lease (QuinceRolloutBook *book, const char *agent, gint64 now_ms, guint most, const char *want)
{
  g_autofree char *got = lease (book, agent, now_ms, most);

  assert_string_equal (got, want);
}

static void
test_lease_order (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();

  run_row (book, &(Row)SUBMIT ("t", 1, "r a:10 b:30 c:20 d", 0, OK));
  run_row (book, &(Row)SUBMIT ("t", 2, "s e:500", 0, OK));
  run_row (book, &(Row)SUBMIT ("u", 1, "r x:1 y:2", 0, OK));
  assert_lease (book, "g", 0, 0, "");
  /* An unknown length counts as all that is allowed (100); trainers take turns. */
  assert_lease (book, "g", 0, 3, "t/1/d:1>0 u/1/y:1>0 t/1/b:1>0");
  assert_lease (book, "h", 0, 99, "u/1/x:1>0 t/1/c:1>0 t/1/a:1>0 t/2/e:1>0");
  assert_lease (book, "h", 99, 99, "");
  quince_rollout_book_forget_leases (book);
  assert_lease (book, "h", 99, 1, "t/1/d:1>0");
}

static void
test_lease_lapse (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();

  run_row (book, &(Row)SUBMIT ("t", 1, "r a:40 b:30 c:20 d:10", 1, OK));
  assert_lease (book, "g", 0, 4, "t/1/a:1>0 t/1/b:1>0 t/1/c:1>0 t/1/d:1>0");
  renew (book, "g", 50, "a", 1); /* until 150                           */
  renew (book, "g", 50, "b", 2); /* not the generation                  */
  renew (book, "h", 50, "c", 1); /* not its lease                       */
  renew (book, "g", 50, "none", 1);
  run_row (book, &(Row)COMPLETE ("t", 1, "d", 1, 5, OK));
  renew (book, "g", 60, "d", 1); /* complete                            */
  assert_lease (book, "h", 99, 9, "");
  renew (book, "h", 100, "b", 1); /* free by now                         */
  assert_lease (book, "k", 149, 9, "t/1/c:1>0");
  assert_lease (book, "k", 150, 9, "t/1/a:1>0");
  /* What is put back loses no lease that it has not, and asks for fresh weights. */
  run_row (book, &(Row)PULL ("t", 1, 9, NOT_COMPLETE, 0, 4));
  assert_lease (book, "k", 160, 9, "t/1/d:2>8");
}

static void
test_lease_bytes_are_bounded (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  g_autofree char *long_id = g_strnfill (3 * 1024 * 1024, 'p');
  g_autoptr (QuinceLedgerRecord) record = new_record (&(Row)SUBMIT ("t", 1, "r a b c", 0, OK));
  QuinceSubmitRollout *submit = &record->command.QuinceCommand_u.submit;

  for (guint i = 0; i < 3; i++)
    {
      g_free (submit->samples.samples_val[i].prompt);
      submit->samples.samples_val[i].prompt = g_strdup (long_id);
    }
  quince_rollout_book_apply (book, record, NULL);
  assert_lease (book, "g", 0, 9, "t/1/a:1>0 t/1/b:1>0");
  assert_lease (book, "g", 0, 9, "t/1/c:1>0");
}

/* ---- Saved form -------------------------------------------------------- */

static void
test_malformed_states (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  g_autoptr (GBytes) saved = NULL;
  g_autofree guint8 *data = NULL;
  gsize length;

  /* Names one bit apart, so that changed bytes also give ids that stand twice. */
  run_row (book, &(Row)SUBMIT ("t", 1, "r b c", 0, OK));
  run_row (book, &(Row)SUBMIT ("t", 2, "s b", 0, OK));
  run_row (book, &(Row)SUBMIT ("u", 1, "r b", 0, OK));
  run_row (book, &(Row)COMPLETE ("t", 1, "b", 1, 5, OK));
  run_row (book, &(Row)COMPLETE ("u", 1, "b", 1, 5, OK));
  run_row (book, &(Row)PULL ("u", 1, 5, OK, 1, 1));
  run_row (book, &(Row)CLAIM ("x", 1, 10, 10, OK));
  saved = quince_rollout_book_save (book);
  length = g_bytes_get_size (saved);
  data = g_malloc0 (length + 1);
  memcpy (data, g_bytes_get_data (saved, NULL), length);
  for (gsize cut = 0; cut <= length + 1; cut += cut == length - 1 ? 2 : 1)
    {
      g_autoptr (GError) error = NULL;
      assert_null (quince_rollout_book_load (data, cut, &error));
      assert_true (g_error_matches (error, QUINCE_ROLLOUT_BOOK_ERROR, QUINCE_ROLLOUT_BOOK_ERROR_MALFORMED));
    }
  /* A changed byte is refused or gives a book that is whole in itself. */
  for (gsize at = 0; at < length; at++)
    for (guint bit = 0; bit < 8; bit++)
      {
        g_autoptr (GError) error = NULL;
        g_autoptr (QuinceRolloutBook) loaded = NULL;
        data[at] ^= 1 << bit;
        loaded = quince_rollout_book_load (data, length, &error);
        assert_true ((loaded == NULL) == (error != NULL));
        if (loaded != NULL)
          {
            g_autoptr (GBytes) again = quince_rollout_book_save (loaded);
            assert_memory_equal (g_bytes_get_data (again, NULL), data, length);
          }
        data[at] ^= 1 << bit;
      }
}

/* Ways to break a rule of the book in a state that still decodes. */
enum
{
  SOUND,
  FORMAT,
  FROZEN,
  CLOSED,
  RELEASED,
  RESULT,
  NO_SEGMENT,
  GENERATION,
  SAMPLE,
  ROLLOUT,
  TRAINER,
  STEP,
  CHANGES
};

static void
change_state (QuinceBookState *state, guint change)
{
  QuinceTrainerState *trainer = state->trainers.trainers_val;
  QuinceStepState *step = trainer->steps.steps_val;
  QuinceRolloutState *rollout = step->rollouts.rollouts_val;
  QuinceSampleState *sample = rollout->samples.samples_val;

  state->format += change == FORMAT;
  step->closed = step->frozen = change == FROZEN;
  step[1].closed = change == CLOSED;
  trainer->released_any = trainer->released_through = change == RELEASED;
  sample->result->sample_id[0] += change == RESULT;
  sample->generation -= change == GENERATION;
  rollout[1].samples.samples_val->spec.sample_id[0] -= change == SAMPLE; /* b to a */
  rollout[1].rollout_id[0] -= change == ROLLOUT;                         /* s to r */
  trainer[1].name[0] -= change == TRAINER;                               /* u to t */
  step[1].step -= change == STEP;
  if (change == NO_SEGMENT)
    {
      g_free (sample->result->segments.segments_val[0].engine);
      g_free (sample->result->segments.segments_val[1].engine);
      sample->result->segments.segments_len = 0;
    }
}

static void
test_states_against_rules (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  const xdrproc_t proc = (xdrproc_t)xdr_QuinceBookState;
  const Row rows[]
      = { SUBMIT ("t", 1, "r a", 0, OK),    SUBMIT ("t", 1, "s b", 0, OK), SUBMIT ("t", 2, "x c", 0, OK),
          COMPLETE ("t", 1, "a", 1, 5, OK), CLAIM ("y", 1, 9, 9, OK),      SUBMIT ("u", 1, "r a", 0, OK) };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    run_row (book, &rows[i]);
  for (guint change = SOUND; change < CHANGES; change++)
    {
      g_autoptr (GBytes) saved = quince_rollout_book_save (book);
      g_autoptr (GBytes) changed = NULL;
      g_autoptr (QuinceRolloutBook) loaded = NULL;
      g_autoptr (GError) error = NULL;
      QuinceBookState *decoded = quince_xdr_decode (
          proc, sizeof (QuinceBookState), g_bytes_get_data (saved, NULL), g_bytes_get_size (saved), NULL);

      change_state (decoded, change);
      changed = quince_xdr_encode (proc, decoded, NULL);
      quince_xdr_free (proc, decoded);
      loaded
          = quince_rollout_book_load (g_bytes_get_data (changed, NULL), g_bytes_get_size (changed), &error);
      if ((loaded != NULL) != (change == SOUND))
        fail_msg ("change %u", change);
    }
}

static QuinceLedgerStatus
apply_status (QuinceRolloutBook *book, const Row *row)
{
  g_autoptr (QuinceLedgerRecord) record = new_record (row);
  g_autoptr (QuinceLedgerReply) reply = g_new0 (QuinceLedgerReply, 1);

  quince_rollout_book_apply (book, record, reply);
  return reply->status;
}

static void
test_limits (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  g_autoptr (GString) ids = g_string_new ("r");

  for (guint i = 0; i < QUINCE_MAX_SAMPLES; i++)
    g_string_append_printf (ids, " %u", i);
  assert_int_equal (apply_status (book, &(Row)SUBMIT ("t", 1, ids->str, 0, OK)), QUINCE_LEDGER_OK);
  assert_int_equal (apply_status (book, &(Row)SUBMIT ("t", 1, "s one-more", 0, OK)), QUINCE_LEDGER_CONFLICT);
  book->totals.bytes += G_GUINT64_CONSTANT (1) << 30;
  assert_int_equal (apply_status (book, &(Row)SUBMIT ("t", 2, "s a", 0, OK)), QUINCE_LEDGER_BUSY);
  assert_int_equal (apply_status (book, &(Row)COMPLETE ("t", 1, "0", 1, 5, OK)), QUINCE_LEDGER_OK);
  book->totals.bytes += G_GUINT64_CONSTANT (1) << 30;
  assert_int_equal (apply_status (book, &(Row)COMPLETE ("t", 1, "1", 1, 5, OK)), QUINCE_LEDGER_BUSY);
  assert_int_equal (apply_status (book, &(Row)COMPLETE ("t", 1, "0", 1, 5, OK)), QUINCE_LEDGER_OK);
  book->totals.bytes -= G_GUINT64_CONSTANT (2) << 30;
  for (guint i = 1; i < QUINCE_ROLLOUT_MAX_TRAINERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("trainer%u", i);
      assert_int_equal (apply_status (book, &(Row)SUBMIT (name, 1, "r", 0, OK)), QUINCE_LEDGER_OK);
    }
  assert_int_equal (apply_status (book, &(Row)SUBMIT ("new", 1, "r", 0, OK)), QUINCE_LEDGER_BUSY);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_counters),
    cmocka_unit_test (test_lease_order),
    cmocka_unit_test (test_lease_lapse),
    cmocka_unit_test (test_lease_bytes_are_bounded),
    cmocka_unit_test (test_malformed_states),
    cmocka_unit_test (test_states_against_rules),
    cmocka_unit_test (test_limits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
