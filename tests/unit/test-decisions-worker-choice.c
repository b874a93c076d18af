/*
 * test-decisions-worker-choice.c: tests which workers may take a request, which ones are scored, and the
 * outcome of a choice.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/worker-choice.h"

#define NOW_US (100 * G_USEC_PER_SEC)

/* The state of a worker, and whether it is suitable for a sample of model "m" from version 4 on, has capacity
 * and is preferred. */
static const struct
{
  guint64 version; /* 0: the worker does not have the model */
  gboolean draining;
  gboolean loading;
  gboolean tried;
  gint64 expires_us;
  gint64 ejected_until_us;
  guint running;
  gboolean suitable;
  gboolean has_capacity;
  gboolean trusted;
} workers[] = {
  { 4, FALSE, FALSE, FALSE, 0, 0, 0, TRUE, TRUE, TRUE },
  { 5, FALSE, FALSE, FALSE, 0, 0, 12, TRUE, FALSE, TRUE },
  { 3, FALSE, FALSE, FALSE, 0, 0, 0, FALSE, TRUE, TRUE },
  { 0, FALSE, FALSE, FALSE, 0, 0, 0, FALSE, TRUE, TRUE },
  { 4, TRUE, FALSE, FALSE, 0, 0, 0, FALSE, TRUE, TRUE },
  { 4, FALSE, TRUE, FALSE, 0, 0, 0, FALSE, TRUE, TRUE },
  { 4, FALSE, FALSE, TRUE, 0, 0, 0, FALSE, TRUE, TRUE },
  { 4, FALSE, FALSE, FALSE, NOW_US + 1, 0, 0, TRUE, TRUE, FALSE },
  { 4, FALSE, FALSE, FALSE, NOW_US, 0, 0, FALSE, TRUE, FALSE },
  { 4, FALSE, FALSE, FALSE, 0, NOW_US + 1, 0, TRUE, TRUE, FALSE },
  { 4, FALSE, FALSE, FALSE, 0, NOW_US, 0, TRUE, TRUE, TRUE },
};

static void
test_worker_eligibility (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (workers); i++)
    {
      g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
      g_autoptr (GHashTable) avoid = g_hash_table_new (g_str_hash, g_str_equal);
      if (workers[i].version > 0)
        quince_worker_set_model (worker, "m", workers[i].version);
      if (workers[i].tried)
        g_hash_table_add (avoid, worker->id);
      worker->draining = workers[i].draining;
      worker->loading = workers[i].loading;
      worker->expires_us = workers[i].expires_us;
      worker->ejected_until_us = workers[i].ejected_until_us;
      worker->running = workers[i].running;
      const QuinceWorkerRequirements requirements
          = { .model = "m", .minimum_version = 4, .avoid = avoid, .running_max = 12 };
      assert_int_equal (quince_choice_was_tried (worker, &requirements), workers[i].tried);
      assert_int_equal (quince_choice_is_suitable (worker, NOW_US, &requirements), workers[i].suitable);
      assert_int_equal (quince_choice_has_capacity (worker, &requirements), workers[i].has_capacity);
      assert_int_equal (quince_choice_is_preferred (worker, NOW_US), workers[i].trusted);
    }
}

/* A lookup requires no weights, avoids no workers and has no limit. */
static void
test_lookup_requirements (void **state)
{
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  const QuinceWorkerRequirements requirements = { .model = NULL };
  worker->loading = TRUE;
  worker->running = 1000;
  assert_true (quince_choice_is_suitable (worker, NOW_US, &requirements));
  assert_true (quince_choice_has_capacity (worker, &requirements));
  assert_false (quince_choice_was_tried (worker, &requirements));
}

static void
test_limit_of_cold_workers (void **state)
{
  assert_int_equal (quince_choice_cold_limit (3, TRUE, FALSE, 0), 3);
  assert_int_equal (quince_choice_cold_limit (3, TRUE, TRUE, 12), 3);
  assert_int_equal (quince_choice_cold_limit (3, FALSE, FALSE, 0), G_MAXUINT);
  assert_int_equal (quince_choice_cold_limit (3, FALSE, TRUE, 12), 24);
  assert_int_equal (quince_choice_cold_limit (40, FALSE, TRUE, 12), 40);
  assert_int_equal (quince_choice_cold_limit (3, FALSE, TRUE, 0), 3);
}

static void
test_returning_zone_share (void **state)
{
  assert_true (quince_choice_is_returning_candidate (0.25, 2, 12, 0));
  assert_false (quince_choice_is_returning_candidate (0.25, 3, 12, 0));
  assert_true (quince_choice_is_returning_candidate (0.01, 0, 12, 0)); /* at least one request */
  guint granted_turns = 0;
  for (guint turn = 0; turn < 80; turn++)
    granted_turns += quince_choice_is_returning_candidate (0.25, 100, 0, turn);
  assert_int_equal (granted_turns, 20);
}

static void
test_compare_all_threshold (void **state)
{
  assert_true (quince_choice_compares_all (256, FALSE));
  assert_false (quince_choice_compares_all (257, FALSE));
  assert_true (quince_choice_compares_all (5000, TRUE));
}

/* ---- Candidates --------------------------------------------------------- */

static GPtrArray *
make_workers (guint count)
{
  GPtrArray *found = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_worker_free);
  for (guint i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);
      g_ptr_array_add (found, quince_worker_new (id));
    }
  return found;
}

/* found, start_index, affinity_id, candidates_max; the candidates' ids */
static const struct
{
  guint found;
  guint start_index;
  const char *affinity_id;
  guint candidates_max;
  const char *ids;
} picks[] = {
  { 3, 0, NULL, 4, "w0 w1 w2 " },        { 3, 2, NULL, 4, "w2 w0 w1 " }, { 5, 4, NULL, 3, "w4 w0 w1 " },
  { 5, 4, "w0", 3, "w4 w0 w1 " },        { 5, 4, "w3", 3, "w3 w0 w1 " }, /* replaces the first candidate */
  { 5, 4, "elsewhere", 3, "w4 w0 w1 " },
};

static void
test_candidates (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (picks); i++)
    {
      g_autoptr (GPtrArray) found = make_workers (picks[i].found);
      QuinceWorker *candidates[4];
      guint count = quince_choice_pick_candidates (found, picks[i].start_index, picks[i].affinity_id,
                                                   picks[i].candidates_max, candidates);
      g_autoptr (GString) ids = g_string_new (NULL);
      for (guint j = 0; j < count; j++)
        g_string_append_printf (ids, "%s ", candidates[j]->id);
      assert_string_equal (ids->str, picks[i].ids);
    }
}

static void
test_best_score (void **state)
{
  const double scores[] = { NAN, 1, INFINITY, 3, 3, -INFINITY };
  assert_int_equal (quince_choice_best_score (scores, G_N_ELEMENTS (scores)), 3);
  assert_int_equal (quince_choice_best_score (scores, 1), -1);
  assert_int_equal (quince_choice_best_score (scores, 0), -1);
}

/* ---- Outcome ------------------------------------------------------------ */

/* found, suitable, full, evacuated, tried, limited */
static const struct
{
  QuinceChoiceFacts facts;
  QuinceBackendOutcome outcome;
} outcomes[] = {
  { { TRUE, TRUE, TRUE, TRUE, TRUE, TRUE }, QUINCE_BACKEND_CHOSEN },
  { { FALSE, FALSE, FALSE, FALSE, FALSE, FALSE }, QUINCE_BACKEND_NONE },
  { { FALSE, TRUE, TRUE, FALSE, FALSE, FALSE }, QUINCE_BACKEND_FULL },
  { { FALSE, TRUE, TRUE, TRUE, FALSE, FALSE }, QUINCE_BACKEND_FULL },
  { { FALSE, TRUE, FALSE, FALSE, FALSE, TRUE }, QUINCE_BACKEND_COLD },
  { { FALSE, TRUE, TRUE, FALSE, FALSE, TRUE }, QUINCE_BACKEND_FULL },
  { { FALSE, FALSE, FALSE, TRUE, FALSE, FALSE }, QUINCE_BACKEND_EVACUATED },
  { { FALSE, FALSE, FALSE, TRUE, TRUE, FALSE }, QUINCE_BACKEND_NONE }, /* a tried worker may be tried again */
};

static void
test_outcomes (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    assert_int_equal (quince_choice_outcome (&outcomes[i].facts), outcomes[i].outcome);
}

/* Processes begin at different workers, no worker is in many subsets, and one worker less moves few. */
static void
test_subsets_cover_all_workers (void **state)
{
  guint n_processes = 835;
  guint n_workers = 2222;
  g_autofree guint *uses = g_new0 (guint, n_workers);
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  for (guint i = 0; i < n_processes; i++)
    {
      guint32 seed = g_rand_int (random);
      guint start = quince_choice_subset_start (seed, n_workers);
      uses[start]++;
      guint without_one = quince_choice_subset_start (seed, n_workers - 1);
      assert_in_range (without_one, start > 0 ? start - 1 : 0, start);
    }
  for (guint i = 0; i < n_workers; i++)
    assert_true (uses[i] <= 5);
}

static void
test_light_load (void **state)
{
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  worker->slots = 6;
  worker->running = 2;
  assert_true (quince_choice_is_lightly_loaded (worker));
  worker->running = 3;
  assert_false (quince_choice_is_lightly_loaded (worker));
  worker->slots = 1;
  worker->running = 0;
  assert_true (quince_choice_is_lightly_loaded (worker));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_subsets_cover_all_workers),
    cmocka_unit_test (test_light_load),
    cmocka_unit_test (test_worker_eligibility),
    cmocka_unit_test (test_lookup_requirements),
    cmocka_unit_test (test_limit_of_cold_workers),
    cmocka_unit_test (test_returning_zone_share),
    cmocka_unit_test (test_compare_all_threshold),
    cmocka_unit_test (test_candidates),
    cmocka_unit_test (test_best_score),
    cmocka_unit_test (test_outcomes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
