/*
 * test-progress-selection.c: guards against texts of running samples that have no further copy, against
 * reports without a bound, and against further copies that are lost together with the leader's or the
 * successor's.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/batches/progress-selection.h"

#define PACE_US 47000
#define EVENT_BYTES 20

static QuinceProgressCandidate
make_candidate (guint64 events, guint64 sent_events, double remaining_events)
{
  return (QuinceProgressCandidate){ .events = events,
                                    .sent_events = sent_events,
                                    .remaining_events = remaining_events,
                                    .pace_us = PACE_US,
                                    .bytes = (gsize)(events - sent_events) * EVENT_BYTES };
}

static GArray *
select_texts (const QuinceProgressCandidate *candidates, guint n_candidates)
{
  GArray *selected = g_array_new (FALSE, FALSE, sizeof (guint));
  quince_progress_select_texts (candidates, n_candidates, selected);
  return selected;
}

/* ---- Texts -------------------------------------------------------------- */

/* 21 events of 47 ms take 0.987 s, 22 events 1.034 s. */
static void
test_short_texts_are_not_copied (void **state)
{
  const QuinceProgressCandidate candidates[]
      = { make_candidate (21, 0, 1), make_candidate (22, 0, 1), make_candidate (0, 0, 1) };
  g_autoptr (GArray) selected = select_texts (candidates, G_N_ELEMENTS (candidates));
  assert_int_equal (selected->len, 1);
  assert_int_equal (g_array_index (selected, guint, 0), 1);
}

/* Without a pace, a text of 30 events is not taken for a short one. */
static void
test_unmeasured_pace (void **state)
{
  QuinceProgressCandidate candidates[] = { make_candidate (30, 0, 1), make_candidate (10, 0, 1) };
  candidates[0].pace_us = candidates[1].pace_us = 0;
  g_autoptr (GArray) selected = select_texts (candidates, G_N_ELEMENTS (candidates));
  assert_int_equal (selected->len, 1);
  assert_int_equal (g_array_index (selected, guint, 0), 0);
}

/* A copy of a text grows with it, also when a faster worker is found: otherwise the copy would become
 * outdated. */
static void
test_begun_copies_are_continued (void **state)
{
  QuinceProgressCandidate candidates[] = { make_candidate (30, 28, 5), make_candidate (30, 30, 5) };
  candidates[0].pace_us = candidates[1].pace_us = 20000;
  g_autoptr (GArray) selected = select_texts (candidates, G_N_ELEMENTS (candidates));
  assert_int_equal (selected->len, 1);
  assert_int_equal (g_array_index (selected, guint, 0), 0);
}

static void
test_nearest_to_their_end_first (void **state)
{
  QuinceProgressCandidate candidates[] = { make_candidate (50, 0, 60), make_candidate (100, 0, 0),
                                           make_candidate (30, 25, 20), make_candidate (40, 0, 30) };
  candidates[3].pace_us = 25000; /* 30 events of 25 ms end before 20 events of 47 ms */
  g_autoptr (GArray) selected = select_texts (candidates, G_N_ELEMENTS (candidates));
  const guint expected[] = { 1, 3, 2, 0 };
  assert_int_equal (selected->len, G_N_ELEMENTS (expected));
  assert_memory_equal (selected->data, expected, sizeof expected);
}

/* A text that does not fit neither exceeds the bound nor blocks the texts behind it. */
static void
test_report_is_bounded (void **state)
{
  QuinceProgressCandidate candidates[]
      = { make_candidate (30, 0, 1), make_candidate (30, 0, 2), make_candidate (30, 0, 3) };
  candidates[0].bytes = QUINCE_PROGRESS_REPORT_MAX_BYTES + 1;
  candidates[1].bytes = QUINCE_PROGRESS_REPORT_MAX_BYTES - 10;
  candidates[2].bytes = 10;
  g_autoptr (GArray) selected = select_texts (candidates, G_N_ELEMENTS (candidates));
  const guint expected[] = { 1, 2 };
  assert_int_equal (selected->len, G_N_ELEMENTS (expected));
  assert_memory_equal (selected->data, expected, sizeof expected);
}

/* ---- Load --------------------------------------------------------------- */

/* Four trainers submit 7 groups of 16 samples each at once; all run. */
#define LOAD_SAMPLES 448
#define LOAD_EVENTS_MAX 150
#define REPORT_INTERVAL_US 200000
#define REPORTS 36 /* until the longest texts, 7.05 s, have ended */

typedef struct
{
  guint64 length; /* events of the whole text */
  guint64 copied;
  gint64 worth_since_us; /* when the text became worth a copy; 0: not yet */
} LoadSample;

typedef struct
{
  LoadSample samples[LOAD_SAMPLES];
  guint event_bytes;
  gsize largest_report;
  gsize bytes;
  gint64 longest_wait_us; /* until a text that was worth a copy got it */
} Load;

/* Lengths from 2 to 150 events, most of them short, in an order that does not follow the length. */
static void
init_load (Load *load, guint event_bytes)
{
  *load = (Load){ .event_bytes = event_bytes };
  for (guint i = 0; i < LOAD_SAMPLES; i++)
    {
      guint rank = (i * 167) % LOAD_SAMPLES;
      load->samples[i].length = 2 + (guint64)rank * rank * (LOAD_EVENTS_MAX - 2) / (447 * 447);
    }
}

static void
fill_candidates (Load *load, gint64 now_us, QuinceProgressCandidate *candidates)
{
  for (guint i = 0; i < LOAD_SAMPLES; i++)
    {
      LoadSample *sample = &load->samples[i];
      guint64 events = MIN ((guint64)(now_us / PACE_US), sample->length);
      gboolean is_listed = events == sample->length && now_us > (gint64)(sample->length + 10) * PACE_US;
      candidates[i] = make_candidate (is_listed ? sample->copied : events, sample->copied,
                                      (double)(sample->length - events));
      candidates[i].bytes = (gsize)(candidates[i].events - sample->copied) * load->event_bytes;
      if (sample->worth_since_us == 0 && events * PACE_US >= G_USEC_PER_SEC && !is_listed)
        sample->worth_since_us = now_us;
    }
}

/* Fails if a text that is nearer to its end than a selected one was left out although it fits. */
static void
check_order (const QuinceProgressCandidate *candidates, const GArray *selected, gsize report_bytes)
{
  double last_remaining = 0;
  for (guint i = 0; i < selected->len; i++)
    {
      const QuinceProgressCandidate *candidate = &candidates[g_array_index (selected, guint, i)];
      assert_true (candidate->remaining_events >= last_remaining);
      last_remaining = candidate->remaining_events;
    }
  for (guint i = 0; i < LOAD_SAMPLES; i++)
    {
      gboolean is_selected = FALSE;
      for (guint j = 0; j < selected->len; j++)
        is_selected = is_selected || g_array_index (selected, guint, j) == i;
      gboolean is_worth
          = candidates[i].events > candidates[i].sent_events
            && (candidates[i].sent_events > 0 || candidates[i].events * PACE_US >= G_USEC_PER_SEC);
      assert_true (is_worth || !is_selected);
      if (is_worth && !is_selected)
        assert_true (report_bytes + candidates[i].bytes > QUINCE_PROGRESS_REPORT_MAX_BYTES);
    }
}

static void
run_load (Load *load)
{
  QuinceProgressCandidate candidates[LOAD_SAMPLES];
  for (gint64 now_us = REPORT_INTERVAL_US; now_us <= REPORTS * REPORT_INTERVAL_US;
       now_us += REPORT_INTERVAL_US)
    {
      fill_candidates (load, now_us, candidates);
      g_autoptr (GArray) selected = select_texts (candidates, LOAD_SAMPLES);
      gsize report_bytes = 0;
      for (guint i = 0; i < selected->len; i++)
        {
          guint index = g_array_index (selected, guint, i);
          LoadSample *sample = &load->samples[index];
          report_bytes += candidates[index].bytes;
          if (sample->copied == 0)
            load->longest_wait_us = MAX (load->longest_wait_us, now_us - sample->worth_since_us);
          sample->copied = candidates[index].events;
        }
      check_order (candidates, selected, report_bytes);
      load->largest_report = MAX (load->largest_report, report_bytes);
      load->bytes += report_bytes;
    }
}

/* 448 samples of four trainers at once, with events of 20 bytes: each text of a second or more has its copy
 * within two reports, and it is whole at the end. */
static void
test_load_of_four_trainers (void **state)
{
  Load load;
  init_load (&load, EVENT_BYTES);
  run_load (&load);
  print_message ("  largest report %" G_GSIZE_FORMAT " bytes, all reports %" G_GSIZE_FORMAT " bytes\n",
                 load.largest_report, load.bytes);
  assert_true (load.largest_report <= QUINCE_PROGRESS_REPORT_MAX_BYTES);
  assert_true (load.longest_wait_us <= 2 * REPORT_INTERVAL_US);
  for (guint i = 0; i < LOAD_SAMPLES; i++)
    if (load.samples[i].length * PACE_US >= G_USEC_PER_SEC)
      assert_int_equal (load.samples[i].copied, load.samples[i].length);
    else
      assert_int_equal (load.samples[i].copied, 0);
}

/* The same with events of 400 bytes, five times what the bound lets through: reports stay within it. */
static void
test_load_of_long_texts_is_bounded (void **state)
{
  Load load;
  init_load (&load, 400);
  run_load (&load);
  assert_true (load.largest_report <= QUINCE_PROGRESS_REPORT_MAX_BYTES);
  assert_true (load.bytes <= (gsize)REPORTS * QUINCE_PROGRESS_REPORT_MAX_BYTES);
  guint copied = 0;
  for (guint i = 0; i < LOAD_SAMPLES; i++)
    copied += load.samples[i].copied > 0;
  assert_true (copied > 0);
}

/* ---- Further backups ---------------------------------------------------- */

static const QuinceProgressBackup backups[]
    = { { 11, "z1" }, { 12, "z2" }, { 13, "z3" }, { 14, "z4" }, { 15, "z3" } };

/* With [ledger] losses 1 nothing is chosen. */
static void
test_no_copies (void **state)
{
  guint64 chosen[1] = { 0 };
  quince_progress_choose_backups (backups, G_N_ELEMENTS (backups), "z1", "z2", chosen, 0);
  assert_int_equal (chosen[0], 0);
}

/* Otherwise the loss of a zone takes two copies at once. */
static void
test_copies_in_other_zones (void **state)
{
  guint64 chosen[3] = { 0 };
  quince_progress_choose_backups (backups, G_N_ELEMENTS (backups), "z1", "z2", chosen, 3);
  assert_int_equal (chosen[0], 13);
  assert_int_equal (chosen[1], 14); /* z3 has one already */
  assert_int_equal (chosen[2], 15); /* z3 has a copy, z1 the leader */
}

static void
test_copies_without_other_zones (void **state)
{
  guint64 chosen[2] = { 0 };
  quince_progress_choose_backups (backups, 2, "z1", "z2", chosen, 2);
  assert_int_equal (chosen[0], 11);
  assert_int_equal (chosen[1], 12);
}

/* A copy that moves needs the whole texts again. */
static void
test_copies_stay_while_connected (void **state)
{
  guint64 chosen[2] = { 15, 14 };
  quince_progress_choose_backups (backups, G_N_ELEMENTS (backups), "z1", "z2", chosen, 2);
  assert_int_equal (chosen[0], 15);
  assert_int_equal (chosen[1], 14);
}

static void
test_lost_copy_is_replaced (void **state)
{
  guint64 chosen[2] = { 99, 14 };
  quince_progress_choose_backups (backups, G_N_ELEMENTS (backups), "z1", "z2", chosen, 2);
  assert_int_equal (chosen[0], 13);
  assert_int_equal (chosen[1], 14);
}

/* The backups of a new leader connect in sequence: the first one may be in its own zone. */
static void
test_copy_leaves_a_shared_zone (void **state)
{
  guint64 chosen[1] = { 0 };
  quince_progress_choose_backups (backups, 1, "z1", "z2", chosen, 1);
  assert_int_equal (chosen[0], 11);
  quince_progress_choose_backups (backups, 2, "z1", "z2", chosen, 1);
  assert_int_equal (chosen[0], 11); /* z2 is no better */
  quince_progress_choose_backups (backups, 3, "z1", "z2", chosen, 1);
  assert_int_equal (chosen[0], 13);
}

/* A backup whose zone is not known may be in the leader's. */
static void
test_unknown_zone_comes_last (void **state)
{
  const QuinceProgressBackup unknown[] = { { 21, NULL }, { 22, "z3" } };
  guint64 chosen[1] = { 0 };
  quince_progress_choose_backups (unknown, 2, "z1", NULL, chosen, 1);
  assert_int_equal (chosen[0], 22);
}

/* ---- Offers ------------------------------------------------------------- */

static void
test_versions_that_may_resume (void **state)
{
  const guint64 versions[] = { 4, 5 };
  assert_true (quince_progress_may_resume (versions, 2, 4, FALSE));
  assert_false (quince_progress_may_resume (versions, 2, 5, FALSE));
  assert_false (quince_progress_may_resume (versions, 2, 4, TRUE));
  assert_true (quince_progress_may_resume (versions, 1, 4, TRUE));
  assert_false (quince_progress_may_resume (versions, 0, 0, FALSE)); /* a text without versions */
}

/* 11 events of 47 ms are 0.517 s. */
static void
test_offer_replaces_a_run (void **state)
{
  assert_true (quince_progress_replaces_run (3, 14, PACE_US));
  assert_false (quince_progress_replaces_run (3, 13, PACE_US));
  assert_false (quince_progress_replaces_run (14, 3, PACE_US));
  assert_true (quince_progress_replaces_run (0, 20, 0));
  assert_false (quince_progress_replaces_run (0, 5, 0));
}

/* A new leader that has all progress starts samples without text at once; one that may lack texts waits until
 * each other member has offered its progress, and no longer. */
static void
test_knowledge_is_complete (void **state)
{
  const QuinceProgressKnowledge successor = { .received_all = TRUE, .other_members = 4 };
  assert_true (quince_progress_is_complete (&successor));
  const QuinceProgressKnowledge nothing_offered = { .other_members = 4, .offered_members = 0 };
  assert_false (quince_progress_is_complete (&nothing_offered));
  const QuinceProgressKnowledge all_offered = { .other_members = 4, .offered_members = 4 };
  assert_true (quince_progress_is_complete (&all_offered));
}

/* The first offer may come from a further copy, which has only a part of the texts. */
static void
test_taken_texts_may_be_a_part (void **state)
{
  const QuinceProgressKnowledge successor_offered
      = { .other_members = 2, .offered_members = 1, .taken_texts = 3 };
  assert_true (quince_progress_is_complete (&successor_offered));
  const QuinceProgressKnowledge copy_offered
      = { .has_further_copies = TRUE, .other_members = 4, .offered_members = 1, .taken_texts = 3 };
  assert_false (quince_progress_is_complete (&copy_offered));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_short_texts_are_not_copied),
    cmocka_unit_test (test_unmeasured_pace),
    cmocka_unit_test (test_begun_copies_are_continued),
    cmocka_unit_test (test_nearest_to_their_end_first),
    cmocka_unit_test (test_report_is_bounded),
    cmocka_unit_test (test_load_of_four_trainers),
    cmocka_unit_test (test_load_of_long_texts_is_bounded),
    cmocka_unit_test (test_no_copies),
    cmocka_unit_test (test_copies_in_other_zones),
    cmocka_unit_test (test_copies_without_other_zones),
    cmocka_unit_test (test_copies_stay_while_connected),
    cmocka_unit_test (test_lost_copy_is_replaced),
    cmocka_unit_test (test_copy_leaves_a_shared_zone),
    cmocka_unit_test (test_unknown_zone_comes_last),
    cmocka_unit_test (test_versions_that_may_resume),
    cmocka_unit_test (test_offer_replaces_a_run),
    cmocka_unit_test (test_knowledge_is_complete),
    cmocka_unit_test (test_taken_texts_may_be_a_part),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
