/*
 * test-rollout-pages.c: a batch handed over in pages, with pages lost and
 * repeated, other leaders between pages, and the batch made anew.
 */
#include "rollout-rows.h"

#include <string.h>

enum
{
  SAMPLES = 12,
  TEXT_BYTES = 300 * 1024, /* three to a page                             */
  RANDOM_RUNS = 30,
  STEPS_MOST = 400,
};

#define PULL(version)                                                                                        \
  {                                                                                                          \
    'P', "t", 1, "", 0, version                                                                              \
  }

static void
complete_long (QuinceRolloutBook *book, guint index, guint generation, guint64 version, gsize bytes)
{
  g_autofree char *id = g_strdup_printf ("s%u", index);
  g_autoptr (QuinceLedgerRecord) record = new_record (&(Row){ 'C', "t", 1, id, generation, version });
  QuinceSampleResult *result = &record->command.QuinceCommand_u.complete.result;

  g_free (result->text);
  result->text = g_strnfill (bytes, 'a' + (char)(version % 26));
  quince_rollout_book_apply (book, record, NULL);
}

/* A book with one step of complete samples, every third of them of an older version. */
static QuinceRolloutBook *
new_book (gsize bytes)
{
  QuinceRolloutBook *book = quince_rollout_book_new ();
  g_autoptr (GString) ids = g_string_new ("r");

  for (guint i = 0; i < SAMPLES; i++)
    g_string_append_printf (ids, " s%u", i);
  run_row (book, &(Row){ 'S', "t", 1, ids->str, 1 });
  for (guint i = 0; i < SAMPLES; i++)
    complete_long (book, i, 1, i % 3 == 0 ? 5 : 6, bytes);
  return book;
}

/* As the ledger does: the book alone answers, else a record does. */
static QuinceLedgerReply *
call (QuinceRolloutBook *book, const QuinceCommand *command)
{
  QuinceLedgerReply *reply = g_new0 (QuinceLedgerReply, 1);
  QuinceLedgerRecord record = { .command = *command };

  if (!quince_rollout_book_peek (book, 0, command, reply))
    quince_rollout_book_apply (book, &record, reply);
  return reply;
}

static QuinceLedgerReply *
pull (QuinceRolloutBook *book, guint64 version)
{
  g_autoptr (QuinceLedgerRecord) record = new_record (&(Row)PULL (version));

  return call (book, &record->command);
}

static QuinceLedgerReply *
read_page (QuinceRolloutBook *book, guint64 step, guint64 batch_id, guint first)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_PAGE };

  command.QuinceCommand_u.page = (QuinceReadPage){ (char *)"t", step, batch_id, first };
  return call (book, &command);
}

static void
test_pages (void **state)
{
  static const struct
  {
    gsize bytes;
    guint pages;
  } cases[] = { { 10, 1 }, { TEXT_BYTES, 4 }, { 2 * 1024 * 1024, SAMPLES } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (QuinceRolloutBook) book = new_book (cases[i].bytes);
      g_autoptr (QuinceLedgerReply) reply = pull (book, 6);
      guint next = 0, pages = 0;
      while (reply->status == QUINCE_LEDGER_OK)
        {
          const QuinceBatch *page = &reply->result.QuinceLedgerResult_u.batch;
          guint64 batch_id = page->batch_id;
          g_autoptr (GBytes) encoded = encode_reply (reply);
          assert_true (g_bytes_get_size (encoded) < cases[i].bytes + 1024 * 1024 + 4096);
          assert_int_equal (page->first, next);
          assert_int_equal (page->total, SAMPLES);
          next += page->results.results_len;
          pages++;
          quince_ledger_reply_free (reply);
          reply = read_page (book, 1, batch_id, next);
        }
      assert_int_equal (reply->status, QUINCE_LEDGER_CONFLICT); /* behind the last sample */
      assert_int_equal (next, SAMPLES);
      assert_int_equal (pages, cases[i].pages);
    }
}

static void
test_refused_pages (void **state)
{
  g_autoptr (QuinceRolloutBook) book = new_book (TEXT_BYTES);
  g_autoptr (QuinceLedgerReply) unfrozen = read_page (book, 1, SAMPLES, 0);
  g_autoptr (QuinceLedgerReply) first = pull (book, 6);
  guint64 batch_id = first->result.QuinceLedgerResult_u.batch.batch_id;
  g_autoptr (QuinceLedgerReply) other = read_page (book, 1, batch_id + 1, 0);
  g_autoptr (QuinceLedgerReply) unknown = read_page (book, 2, batch_id, 0);
  g_autoptr (QuinceLedgerReply) newer = pull (book, 7);
  g_autoptr (QuinceLedgerReply) anew = read_page (book, 1, batch_id, 3);
  g_autoptr (QuinceLedgerReply) released = NULL;

  assert_int_equal (unfrozen->status, QUINCE_LEDGER_CONFLICT);
  assert_int_equal (other->status, QUINCE_LEDGER_CONFLICT);
  assert_int_equal (unknown->status, QUINCE_LEDGER_NO_SUCH);
  assert_int_equal (newer->status, QUINCE_LEDGER_NOT_COMPLETE);
  assert_int_equal (anew->status, QUINCE_LEDGER_CONFLICT);
  for (guint i = 0; i < SAMPLES; i += 3)
    complete_long (book, i, 2, 7, TEXT_BYTES);
  run_row (book, &(Row)PULL (7));
  run_row (book, &(Row){ 'R', "t", 1, "" });
  released = read_page (book, 1, batch_id, 3);
  assert_int_equal (released->status, QUINCE_LEDGER_GONE);
}

/* ---- Random faults ------------------------------------------------------- */

typedef struct
{
  GRand *random;
  QuinceRolloutBook *book;
  guint64 version;      /* of the trainer                                */
  guint64 batch_id;     /* 0: to be pulled                               */
  GPtrArray *collected; /* sample id and text of the pages taken, owned  */
} Puller;

static gboolean
happens (Puller *puller, guint one_in)
{
  return g_rand_int_range (puller->random, 0, (gint32)one_in) == 0;
}

static void
start_again (Puller *puller)
{
  puller->batch_id = 0;
  g_ptr_array_set_size (puller->collected, 0);
}

static void
play_fault (Puller *puller)
{
  if (happens (puller, 6)) /* another leader, from its own copy */
    {
      QuinceRolloutBook *copy = reload (puller->book);
      quince_rollout_book_free (puller->book);
      puller->book = copy;
    }
  if (puller->version < 8 && happens (puller, 10)) /* the trainer calls through another agent */
    {
      puller->version++;
      quince_ledger_reply_free (pull (puller->book, puller->version));
    }
  for (guint i = 0; i < SAMPLES; i++)
    complete_long (puller->book, i, 1 + (guint)g_rand_int_range (puller->random, 0, 4), puller->version,
                   TEXT_BYTES);
  if (happens (puller, 12))
    start_again (puller);
}

static void
take_page (Puller *puller, const QuinceBatch *page)
{
  /* What the agent checks before it writes a page. */
  if (page->first != puller->collected->len || (page->first > 0 && page->batch_id != puller->batch_id))
    return;
  puller->batch_id = page->batch_id;
  for (guint i = 0; i < page->results.results_len; i++)
    {
      const QuinceSampleResult *result = &page->results.results_val[i];
      assert_true (result->segments.segments_val[1].weight_version + 1 >= puller->version);
      g_ptr_array_add (puller->collected, g_strconcat (result->sample_id, " ", result->text, NULL));
    }
}

static void
run_puller (Puller *puller)
{
  for (guint turn = 0; turn < STEPS_MOST && puller->collected->len < SAMPLES; turn++)
    {
      guint first = puller->collected->len;
      /* Sometimes the page before once more: its repeat must not be taken twice. */
      guint wanted = first > 0 && happens (puller, 5) ? first - 1 : first;
      g_autoptr (QuinceLedgerReply) reply = puller->batch_id == 0
                                                ? pull (puller->book, puller->version)
                                                : read_page (puller->book, 1, puller->batch_id, wanted);
      if (reply->status == QUINCE_LEDGER_CONFLICT)
        start_again (puller);
      else if (reply->status == QUINCE_LEDGER_OK && !happens (puller, 4)) /* else the answer is lost */
        take_page (puller, &reply->result.QuinceLedgerResult_u.batch);
      if (puller->collected->len < SAMPLES)
        play_fault (puller);
    }
}

/* The pages that were put together are the batch as it is frozen, each sample once. */
static void
check_collected (Puller *puller)
{
  assert_int_equal (puller->collected->len, SAMPLES);
  for (guint i = 0; i < SAMPLES; i++)
    {
      const QuinceTrainer *trainer = quince_rollout_book_find_trainer (puller->book, "t");
      const QuinceSample *sample = g_ptr_array_index (quince_trainer_find_step (trainer, 1)->samples, i);
      g_autofree char *want = g_strconcat (sample->spec.sample_id, " ", sample->result->text, NULL);
      assert_string_equal (g_ptr_array_index (puller->collected, i), want);
    }
}

static void
test_random_faults (void **state)
{
  for (guint seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);
      g_autoptr (GPtrArray) collected = g_ptr_array_new_with_free_func (g_free);
      Puller puller = { random, new_book (TEXT_BYTES), 6, 0, collected };
      run_puller (&puller);
      check_collected (&puller);
      quince_rollout_book_free (puller.book);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pages),
    cmocka_unit_test (test_refused_pages),
    cmocka_unit_test (test_random_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
