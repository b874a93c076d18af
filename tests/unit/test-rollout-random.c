/*
 * test-rollout-random.c: random orders of a rollout book's commands against
 * what its callers were promised.
 */
#include "rollout-rows.h"

enum
{
  RANDOM_RUNS = 40,
  RANDOM_EVENTS = 150,
};

/* What an observer of the callers knows. */
typedef struct
{
  GRand *random;
  QuinceRolloutBook *book;
  GHashTable *accepted;  /* "trainer/step/id" of acknowledged samples         */
  GHashTable *first;     /* "trainer/step/text prefix" to the text of the first completion */
  GHashTable *delivered; /* those of them in the batch that the last pull of their step gave */
  guint64 version[2];    /* greatest one of each trainer's accepted pulls     */
  guint names;
} World;

static const char *const trainers[] = { "t", "u" };
static const guint64 random_steps[] = { 1, 2, 5, 6, 9 };
enum
{
  STALENESS_BOUND = 2
};

static int
pick (World *world, int below)
{
  return g_rand_int_range (world->random, 0, below);
}

static void
submit_some (World *world)
{
  const char *trainer = trainers[pick (world, 2)];
  guint64 step = random_steps[pick (world, G_N_ELEMENTS (random_steps))];
  g_autofree char *ids = g_strdup_printf ("r%u a%u b%u", world->names, world->names, world->names);
  Row row = { 'S', trainer, step, ids, STALENESS_BOUND };
  g_autoptr (QuinceLedgerReply) reply = apply (world->book, &row);

  if (reply->status == QUINCE_LEDGER_OK)
    for (guint i = 0; i < 2; i++)
      g_hash_table_add (world->accepted,
                        g_strdup_printf ("%s/%d/%c%u", trainer, (int)step, "ab"[i], world -> names));
  world->names += pick (world, 4) > 0; /* sometimes the same rollout again */
}

static void
complete_one (World *world, const char *key, guint generation, guint64 version)
{
  g_auto (GStrv) parts = g_strsplit (key, "/", 3);
  Row row = { 'C', parts[0], g_ascii_strtoull (parts[1], NULL, 10), parts[2], generation, version };
  g_autoptr (QuinceLedgerReply) reply = apply (world->book, &row);
  char *name = g_strdup_printf ("%s %u", key, generation);

  /* The text says which completion it was. */
  if (reply->status == QUINCE_LEDGER_OK && !g_hash_table_contains (world->first, name))
    g_hash_table_insert (world->first, name,
                         g_strdup_printf ("%s %u %d", parts[2], generation, (int)version));
  else
    g_free (name);
}

/* Leases samples and completes some of them, some twice, some with old weights. */
static void
run_some (World *world, gint64 now_ms, gboolean all)
{
  g_autofree char *leased = lease (world->book, "g", now_ms, all ? 99 : 4);
  g_auto (GStrv) entries = g_strsplit (leased, " ", -1);

  for (guint i = 0; entries[i] != NULL; i++)
    {
      g_auto (GStrv) parts = g_strsplit_set (entries[i], ":>", 3);
      guint generation = g_ascii_strtoull (parts[1], NULL, 10);
      guint64 version = g_ascii_strtoull (parts[2], NULL, 10) + (all ? 10 : pick (world, 4));
      if (!all && pick (world, 4) == 0)
        continue;
      complete_one (world, parts[0], generation, version);
      if (pick (world, 3) == 0)
        complete_one (world, parts[0], generation - (generation > 1 && pick (world, 2)), version + 1);
    }
}

static void
check_batch (World *world, const QuinceBatch *batch, guint t)
{
  for (guint i = 0; i < batch->results.results_len; i++)
    {
      const QuinceSampleResult *result = &batch->results.results_val[i];
      g_auto (GStrv) words = g_strsplit (result->text, " ", 3);
      g_autofree char *key
          = g_strdup_printf ("%s/%d/%s", batch->trainer, (int)batch->step, result->sample_id);
      g_autofree char *name = g_strdup_printf ("%s %s", key, words[1]);
      assert_true (g_hash_table_contains (world->accepted, key));
      assert_string_equal (g_hash_table_lookup (world->first, name), result->text);
      for (guint s = 0; s < result->segments.segments_len; s++)
        assert_true (result->segments.segments_val[s].weight_version + STALENESS_BOUND >= world->version[t]);
      for (guint other = 0; other < i; other++)
        assert_string_not_equal (result->sample_id, batch->results.results_val[other].sample_id);
      g_hash_table_add (world->delivered, g_steal_pointer (&key));
    }
}

static gboolean
is_of_step (gpointer key, gpointer value, gpointer user_data)
{
  const Row *row = user_data;
  g_autofree char *prefix = g_strdup_printf ("%s/%d/", row->name, (int)row->step);

  return g_str_has_prefix (key, prefix);
}

static QuinceLedgerStatus
pull (World *world, guint t, guint64 step, guint64 version)
{
  Row row = { 'P', trainers[t], step, "", 0, version };
  g_autoptr (QuinceLedgerReply) reply = apply (world->book, &row);
  g_autoptr (GBytes) bytes = encode_reply (reply), again_bytes = NULL;
  g_autoptr (QuinceLedgerReply) again = NULL;

  if (reply->status == QUINCE_LEDGER_OK || reply->status == QUINCE_LEDGER_NOT_COMPLETE)
    world->version[t] = MAX (world->version[t], version);
  if (reply->status == QUINCE_LEDGER_NOT_COMPLETE)
    g_hash_table_foreach_remove (world->delivered, is_of_step, &row);
  if (reply->status != QUINCE_LEDGER_OK)
    return reply->status;
  check_batch (world, &reply->result.QuinceLedgerResult_u.batch, t);
  row.version -= pick (world, row.version + 1);
  again = apply (world->book, &row);
  again_bytes = encode_reply (again);
  assert_true (g_bytes_equal (bytes, again_bytes));
  return reply->status;
}

static void
random_event (World *world, gint64 now_ms)
{
  guint t = pick (world, 2);
  guint64 step = random_steps[pick (world, G_N_ELEMENTS (random_steps))];
  QuinceRolloutBook *loaded;

  switch (pick (world, 12))
    {
    case 0:
    case 1:
    case 2:
      submit_some (world);
      break;
    case 3:
      loaded = reload (world->book);
      quince_rollout_book_free (world->book);
      world->book = loaded;
      break;
    case 4:
      quince_rollout_book_forget_leases (world->book);
      break;
    case 5:
      run_row (world->book, &(Row){ 'R', trainers[t], step, "" });
      break;
    case 6:
    case 7:
      pull (world, t, step, world->version[t] + pick (world, 4) - MIN (world->version[t], 2));
      break;
    default:
      run_some (world, now_ms, FALSE);
    }
}

/* The trainers come to the end of every step; what was acknowledged must all have come. */
static void
drain (World *world, gint64 now_ms)
{
  for (guint t = 0; t < 2; t++)
    for (guint i = 0; i < G_N_ELEMENTS (random_steps); i++)
      {
        QuinceLedgerStatus status = pull (world, t, random_steps[i], 0);
        for (guint round = 0; status == QUINCE_LEDGER_NOT_COMPLETE && round < 3; round++)
          {
            now_ms += 1000;
            run_some (world, now_ms, TRUE);
            status = pull (world, t, random_steps[i], 0);
          }
        assert_true (status == QUINCE_LEDGER_OK || status == QUINCE_LEDGER_GONE
                     || status == QUINCE_LEDGER_NO_SUCH);
        run_row (world->book, &(Row){ 'R', trainers[t], random_steps[i], "" });
      }
}

static void
test_random_orders (void **state)
{
  guint64 regenerated = 0, dropped = 0;

  for (guint seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      World world = { .random = g_rand_new_with_seed (seed), .book = quince_rollout_book_new () };
      QuinceRolloutCounters counters;
      world.accepted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      world.first = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      world.delivered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

      for (guint i = 0; i < RANDOM_EVENTS; i++)
        random_event (&world, i * 20);
      drain (&world, RANDOM_EVENTS * 20);

      quince_rollout_book_get_counters (world.book, &counters);
      assert_int_equal (counters.samples_open + counters.samples_complete + counters.rollouts, 0);
      assert_int_equal (counters.delivered, g_hash_table_size (world.accepted));
      assert_int_equal (g_hash_table_size (world.delivered), g_hash_table_size (world.accepted));
      regenerated += counters.regenerated;
      dropped += counters.duplicates_dropped;
      g_hash_table_unref (world.accepted);
      g_hash_table_unref (world.first);
      g_hash_table_unref (world.delivered);
      quince_rollout_book_free (world.book);
      g_rand_free (world.random);
    }
  /* The orders reach the rules they are meant for. */
  assert_true (regenerated > 0 && dropped > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_random_orders) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
