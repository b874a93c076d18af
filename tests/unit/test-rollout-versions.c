/*
 * test-rollout-versions.c: which weight versions leased samples ask for, and
 * which samples are held back until their trainer has come further.
 */
#include "rollout-rows.h"

#define SUBMIT(step, ids, bound)                                                                             \
  {                                                                                                          \
    'S', "t", step, ids, bound                                                                               \
  }
#define COMPLETE(step, id, version)                                                                          \
  {                                                                                                          \
    'C', "t", step, id, 1, version                                                                           \
  }
#define PULL(step, version)                                                                                  \
  {                                                                                                          \
    'P', "t", step, "", 0, version                                                                           \
  }
#define RELEASE(step)                                                                                        \
  {                                                                                                          \
    'R', "t", step, ""                                                                                       \
  }

enum
{
  ROWS_MOST = 12,
};

/* Rows in this order, then everything that may be leased. */
static const struct
{
  const char *name;
  Row rows[ROWS_MOST];
  const char *leased;
} cases[] = {
  { "nothing known yet", { SUBMIT (1, "r a", 0), SUBMIT (2, "s b", 0) }, "t/1/a:1>0 t/2/b:1>0" },
  { "one version a step",
    { SUBMIT (1, "r a", 1), SUBMIT (2, "s b", 1), SUBMIT (3, "u c", 2), PULL (1, 5) },
    "t/1/a:1>4 t/2/b:1>5 t/3/c:1>5" },
  { "submitted after the pull",
    { SUBMIT (1, "r a", 1), PULL (1, 5), SUBMIT (2, "s b", 1) },
    "t/1/a:1>4 t/2/b:1>5" },
  { "weights that are not there yet",
    { SUBMIT (1, "r a", 0), SUBMIT (2, "s b", 0), SUBMIT (3, "u c", 1), PULL (1, 5) },
    "t/1/a:1>5" },
  { "a rollout of the same step with a wider bound passes",
    { SUBMIT (1, "r a", 0), SUBMIT (2, "s b:90", 0), SUBMIT (2, "u c:10", 4), PULL (1, 5) },
    "t/1/a:1>5 t/2/c:1>2" },
  { "let go by the pull of its step",
    { SUBMIT (1, "r a", 0), SUBMIT (2, "s b", 0), PULL (1, 5), COMPLETE (1, "a", 5), PULL (1, 5),
      PULL (2, 6) },
    "t/2/b:1>6" },
  { "steps with gaps",
    { SUBMIT (10, "r a", 2), SUBMIT (20, "s b", 2), SUBMIT (90, "u c", 2), PULL (10, 5) },
    "t/10/a:1>3 t/20/b:1>4 t/90/c:1>5" },
  { "a step that comes between puts the later one off",
    { SUBMIT (1, "r a", 1), SUBMIT (9, "s b", 1), PULL (1, 5), SUBMIT (5, "u c", 1) },
    "t/1/a:1>4 t/5/c:1>5" },
  { "a trainer that keeps its version",
    { SUBMIT (1, "r a", 0), COMPLETE (1, "a", 5), PULL (1, 5), SUBMIT (2, "s b", 0), COMPLETE (2, "b", 5),
      PULL (2, 5), SUBMIT (3, "u c", 0), SUBMIT (4, "v d", 0) },
    "t/3/c:1>5 t/4/d:1>5" },
  { "one leap holds nothing back",
    { SUBMIT (1, "r a", 1), COMPLETE (1, "a", 5), PULL (1, 5), SUBMIT (2, "s b", 1), SUBMIT (3, "u c", 1),
      PULL (2, 60) },
    "t/2/b:1>59 t/3/c:1>60" },
  { "two versions a step, twice",
    { SUBMIT (1, "r a", 1), COMPLETE (1, "a", 5), PULL (1, 5), SUBMIT (2, "s b", 1), COMPLETE (2, "b", 7),
      PULL (2, 7), SUBMIT (3, "u c", 1), COMPLETE (3, "c", 9), PULL (3, 9), SUBMIT (4, "v d", 1),
      SUBMIT (4, "w e", 2) },
    "t/4/e:1>9" },
  { "a version at the end of its range",
    { SUBMIT (1, "r a", 0), SUBMIT (2, "s b", 0), PULL (1, G_MAXUINT64 - 1), PULL (1, G_MAXUINT64) },
    "t/1/a:1>-1 t/2/b:1>-1" },
};

static void
test_versions (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
      g_autofree char *leased = NULL;
      for (const Row *row = cases[i].rows; row < cases[i].rows + ROWS_MOST && row->kind != 0; row++)
        run_row (book, row);
      leased = lease (book, "g", 0, 99);
      if (!g_str_equal (leased, cases[i].leased))
        fail_msg ("%s: %s", cases[i].name, leased);
    }
}

/* A pull that changes nothing is answered without a record, and yet lets go what it waits for. */
static void
test_peeked_pull (void **state)
{
  const Row rows[] = { SUBMIT (1, "r a", 0), SUBMIT (2, "s b", 0), PULL (1, 5),
                       COMPLETE (1, "a", 5), PULL (1, 5),          RELEASE (1) };
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  g_autoptr (QuinceLedgerRecord) pull = new_record (&(Row)PULL (2, 5));
  g_autoptr (QuinceLedgerReply) reply = g_new0 (QuinceLedgerReply, 1);
  g_autofree char *before = NULL, *after = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    run_row (book, &rows[i]);
  before = lease (book, "g", 0, 99);
  assert_string_equal (before, "");
  assert_true (quince_rollout_book_peek (book, 0, &pull->command, reply));
  assert_int_equal (reply->status, QUINCE_LEDGER_NOT_COMPLETE);
  after = lease (book, "g", 0, 99);
  assert_string_equal (after, "t/2/b:1>5");
}

/* A replica that comes from a snapshot has seen no pull: it holds nothing back. */
static void
test_after_snapshot (void **state)
{
  g_autoptr (QuinceRolloutBook) book = quince_rollout_book_new ();
  g_autoptr (QuinceRolloutBook) loaded = NULL;
  g_autofree char *leased = NULL;

  run_row (book, &(Row)SUBMIT (1, "r a", 0));
  run_row (book, &(Row)SUBMIT (2, "s b", 0));
  run_row (book, &(Row)PULL (1, 5));
  loaded = reload (book);
  leased = lease (loaded, "g", 0, 99);
  assert_string_equal (leased, "t/1/a:1>5 t/2/b:1>5");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_versions),
    cmocka_unit_test (test_peeked_pull),
    cmocka_unit_test (test_after_snapshot),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
