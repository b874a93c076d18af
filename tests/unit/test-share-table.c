/*
 * test-share-table.c: guards against metrics whose number grows with the number of tenants, and against a
 * busy tenant that has no label because quieter ones came first.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/usage/share-table.h"

#define LABELS 4
#define START_US (5 * G_USEC_PER_SEC)

/* Records @n uses of @name that end at once.  Returns whether one of them took a label of another name. */
static gboolean
use (QuinceShareTable *table, const char *name, gint64 now_us, guint n)
{
  gboolean took = FALSE;
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *demoted = NULL;
      quince_share_end (quince_share_table_begin (table, name, now_us, &demoted));
      took = took || demoted != NULL;
    }
  return took;
}

static void
use_many (QuinceShareTable *table, const char *prefix, gint64 now_us, guint names, guint n)
{
  for (guint i = 0; i < names; i++)
    {
      g_autofree char *name = g_strdup_printf ("%s%u", prefix, i);
      use (table, name, now_us, n);
    }
}

static void
count_label (const char *label, guint in_progress, gpointer data)
{
  guint *totals = data;
  totals[0]++;
  totals[1] += in_progress;
}

static void
check_labels (const QuinceShareTable *table, guint labels, guint in_progress)
{
  guint totals[2] = { 0 };
  quince_share_table_foreach (table, count_label, totals);
  assert_int_equal (totals[0], labels);
  assert_int_equal (totals[1], in_progress);
}

static void
test_first_names_get_labels (void **state)
{
  g_autoptr (QuinceShareTable) table = quince_share_table_new (LABELS);
  use_many (table, "t", START_US, LABELS, 1);
  assert_false (quince_share_table_has_other (table));
  check_labels (table, LABELS, 0);
  use_many (table, "u", START_US, 1000, 1);
  assert_true (quince_share_table_has_other (table));
  check_labels (table, LABELS + 1, 0);
  assert_string_equal (quince_share_table_find_label (table, "t0"), "t0");
  assert_string_equal (quince_share_table_find_label (table, "u7"), QUINCE_SHARE_OTHER);
  /* A tenant whose name is the common label does not hide the others. */
  use (table, QUINCE_SHARE_OTHER, START_US, 100);
  check_labels (table, LABELS + 1, 0);
}

static void
test_burst_takes_label (void **state)
{
  g_autoptr (QuinceShareTable) table = quince_share_table_new (LABELS);
  use_many (table, "t", START_US, LABELS - 1, 50);
  use (table, "quiet", START_US, 5);
  assert_true (use (table, "burst", START_US, 30));
  assert_string_equal (quince_share_table_find_label (table, "burst"), "burst");
  assert_string_equal (quince_share_table_find_label (table, "quiet"), QUINCE_SHARE_OTHER);
  check_labels (table, LABELS + 1, 0);
  /* Of names that are equally active from now on, one takes the label of the burst; they do not take labels
   * from each other. */
  guint taken = 0;
  for (guint i = 0; i < 1000; i++)
    for (guint j = 0; j < LABELS + 2; j++)
      {
        g_autofree char *name = g_strdup_printf ("t%u", j);
        taken += use (table, name, START_US, 1);
      }
  assert_int_equal (taken, 1);
}

/* A tenant that was busy an hour ago does not keep its label. */
static void
test_old_activity_expires (void **state)
{
  g_autoptr (QuinceShareTable) table = quince_share_table_new (1);
  use (table, "old", START_US, 100000);
  assert_false (use (table, "new", START_US, 100));
  assert_true (
      use (table, "new", START_US + (gint64)60 * QUINCE_SHARE_HALVING_US, QUINCE_SHARE_TAKEOVER_USES));
}

/* Requests in progress are neither lost nor counted twice when labels change and names are forgotten. */
static void
test_uses_in_progress (void **state)
{
  enum
  {
    NAMES = 300,
  };
  g_autoptr (QuinceShareTable) table = quince_share_table_new (LABELS);
  QuinceShare *shares[NAMES];
  for (guint i = 0; i < NAMES; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%u", i);
      g_autofree char *demoted = NULL;
      shares[i] = quince_share_table_begin (table, name, START_US, &demoted);
    }
  check_labels (table, LABELS + 1, NAMES);
  use (table, "t9", START_US, 50);
  use_many (table, "u", START_US, NAMES, 1);
  check_labels (table, LABELS + 1, NAMES);
  for (guint i = 0; i < NAMES; i++)
    quince_share_end (shares[i]);
  check_labels (table, LABELS + 1, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_names_get_labels),
    cmocka_unit_test (test_burst_takes_label),
    cmocka_unit_test (test_old_activity_expires),
    cmocka_unit_test (test_uses_in_progress),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
