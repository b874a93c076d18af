/*
 * experiment-table.c: the results of all runs as CSV, and their summary.
 */
#include "experiment.h"

#include <string.h>

typedef struct
{
  const char *column; /* of results.csv       */
  const char *title;  /* of the summary table */
  gboolean more_is_better;
  guint digits;
} MeasureForm;

/* Indexed by QuinceMeasure. */
static const MeasureForm forms[QUINCE_N_MEASURES] = {
  [QUINCE_MEASURE_IDLE] = { "trainer_idle_s", "idle s", FALSE, 2 },
  [QUINCE_MEASURE_ON_TIME] = { "on_time_percent", "on time %", TRUE, 1 },
  [QUINCE_MEASURE_LATE] = { "late", "late", FALSE, 0 },
  [QUINCE_MEASURE_REFUSED] = { "refused", "refused", FALSE, 0 },
  [QUINCE_MEASURE_FAIRNESS] = { "fairness", "fairness", TRUE, 3 },
  [QUINCE_MEASURE_STALE_P50] = { "staleness_p50", "stale p50", FALSE, 0 },
  [QUINCE_MEASURE_STALE_P99] = { "staleness_p99", "stale p99", FALSE, 0 },
  [QUINCE_MEASURE_REGENERATED] = { "regenerated", "regenerated", FALSE, 0 },
  [QUINCE_MEASURE_PREFIX_HITS] = { "prefix_hit_percent", "prefix hit %", TRUE, 1 },
  [QUINCE_MEASURE_WASTED] = { "wasted_percent", "wasted %", FALSE, 1 },
  [QUINCE_MEASURE_P50] = { "p50_ms", "p50 ms", FALSE, 0 },
  [QUINCE_MEASURE_P99] = { "p99_ms", "p99 ms", FALSE, 0 },
};

char *
quince_experiment_format_csv (const GPtrArray *results)
{
  GString *text = g_string_new ("deployment,contender,fault,seed,complete,broken");
  for (guint i = 0; i < QUINCE_N_MEASURES; i++)
    g_string_append_printf (text, ",%s", forms[i].column);
  g_string_append (text, ",on_time_by_member\n");
  for (guint i = 0; i < results->len; i++)
    {
      const QuinceExperimentResult *result = results->pdata[i];
      g_string_append_printf (text, "%s,%s,%s,%" G_GUINT64_FORMAT ",%d,%u", result->deployment,
                              result->contender, result->fault, result->seed, result->complete,
                              result->broken);
      for (guint j = 0; j < QUINCE_N_MEASURES; j++)
        g_string_append_printf (text, ",%.*f", (int)forms[j].digits, result->measures[j]);
      g_string_append_printf (text, ",%s\n", result->members);
    }
  return g_string_free (text, FALSE);
}

/* ---- Summary ------------------------------------------------------------------- */

/* Results of one contender under one fault. */
typedef struct
{
  const char *contender;
  GPtrArray *results; /* borrowed results; owned array */
} Group;

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a, second = *(const double *)b;
  return first < second ? -1 : first > second;
}

/* @range: (out): least and greatest */
static double
get_median (const Group *group, guint measure, double range[2])
{
  guint count = group->results->len;
  g_autofree double *values = g_new (double, count);
  for (guint i = 0; i < count; i++)
    values[i] = ((const QuinceExperimentResult *)group->results->pdata[i])->measures[measure];
  qsort (values, count, sizeof *values, compare_doubles);
  range[0] = values[0];
  range[1] = values[count - 1];
  return (values[(count - 1) / 2] + values[count / 2]) / 2;
}

/* Appends one row of cells. */
static void
append_row (GString *text, const char *const *cells, guint n_cells, gboolean markdown)
{
  for (guint i = 0; i < n_cells; i++)
    if (markdown)
      g_string_append_printf (text, "%s%s", i > 0 ? " | " : "| ", cells[i]);
    else
      g_string_append_printf (text, i > 0 ? "  %18s" : "%-24s", cells[i]);
  g_string_append (text, markdown ? " |\n" : "\n");
}

static void
append_head (GString *text, gboolean markdown)
{
  const char *cells[QUINCE_N_MEASURES + 2] = { "contender", "runs whole" };
  for (guint i = 0; i < QUINCE_N_MEASURES; i++)
    cells[i + 2] = forms[i].title;
  append_row (text, cells, G_N_ELEMENTS (cells), markdown);
  if (!markdown)
    return;
  for (guint i = 0; i < G_N_ELEMENTS (cells); i++)
    cells[i] = i == 0 ? "---" : "---:";
  append_row (text, cells, G_N_ELEMENTS (cells), markdown);
}

static void
append_group (GString *text, const Group *group, gboolean markdown)
{
  g_auto (GStrv) cells = g_new0 (char *, QUINCE_N_MEASURES + 3);
  guint whole = 0;
  for (guint i = 0; i < group->results->len; i++)
    {
      const QuinceExperimentResult *result = group->results->pdata[i];
      whole += result->complete && result->broken == 0;
    }
  cells[0] = g_strdup (group->contender);
  cells[1] = g_strdup_printf ("%u of %u", whole, group->results->len);
  for (guint i = 0; i < QUINCE_N_MEASURES; i++)
    {
      double range[2];
      int digits = (int)forms[i].digits;
      double median = get_median (group, i, range);
      cells[i + 2] = range[0] < range[1] ? g_strdup_printf ("%.*f (%.*f–%.*f)", digits, median, digits,
                                                            range[0], digits, range[1])
                                         : g_strdup_printf ("%.*f", digits, median);
    }
  append_row (text, (const char *const *)cells, QUINCE_N_MEASURES + 2, markdown);
}

/* The service's median beside that of the best plain router, measure by measure. */
static void
append_comparison (GString *text, const GArray *groups, gboolean markdown)
{
  g_auto (GStrv) cells = g_new0 (char *, QUINCE_N_MEASURES + 3);
  const Group *service = NULL;
  for (guint i = 0; i < groups->len; i++)
    if (g_str_equal (g_array_index (groups, Group, i).contender, QUINCE_EXPERIMENT_SERVICE))
      service = &g_array_index (groups, Group, i);
  if (service == NULL || groups->len < 2)
    return;
  cells[0] = g_strdup ("best plain router");
  cells[1] = g_strdup ("");
  for (guint i = 0; i < QUINCE_N_MEASURES; i++)
    {
      double best = 0, range[2];
      gboolean found = FALSE;
      for (guint j = 0; j < groups->len; j++)
        {
          const Group *group = &g_array_index (groups, Group, j);
          double median = get_median (group, i, range);
          if (group == service || (found && (forms[i].more_is_better ? median <= best : median >= best)))
            continue;
          best = median;
          found = TRUE;
        }
      cells[i + 2] = g_strdup_printf ("%.*f", (int)forms[i].digits, best);
    }
  append_row (text, (const char *const *)cells, QUINCE_N_MEASURES + 2, markdown);
}

static gboolean
belongs (const QuinceExperimentResult *result, const QuinceExperimentResult *first)
{
  return g_str_equal (result->deployment, first->deployment) && g_str_equal (result->fault, first->fault);
}

static void
group_clear (gpointer group)
{
  g_ptr_array_unref (((Group *)group)->results);
}

/* The groups of the runs that share deployment and fault with @first. (transfer full) */
static GArray *
make_groups (const GPtrArray *results, const QuinceExperimentResult *first)
{
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (Group));
  g_array_set_clear_func (groups, group_clear);
  for (guint i = 0; i < results->len; i++)
    {
      QuinceExperimentResult *result = results->pdata[i];
      guint place = 0;
      if (!belongs (result, first))
        continue;
      while (place < groups->len
             && !g_str_equal (g_array_index (groups, Group, place).contender, result->contender))
        place++;
      if (place == groups->len)
        {
          Group group = { result->contender, g_ptr_array_new () };
          g_array_append_val (groups, group);
        }
      g_ptr_array_add (g_array_index (groups, Group, place).results, result);
    }
  return groups;
}

char *
quince_experiment_format_summary (const GPtrArray *results, gboolean markdown)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < results->len; i++)
    {
      const QuinceExperimentResult *first = results->pdata[i];
      gboolean seen = FALSE;
      for (guint j = 0; j < i; j++)
        seen = seen || belongs (results->pdata[j], first);
      if (seen)
        continue;
      g_autoptr (GArray) groups = make_groups (results, first);
      g_string_append_printf (text, "%s%s, fault %s\n\n", markdown ? "### " : "", first->deployment,
                              first->fault);
      append_head (text, markdown);
      for (guint j = 0; j < groups->len; j++)
        append_group (text, &g_array_index (groups, Group, j), markdown);
      append_comparison (text, groups, markdown);
      g_string_append_c (text, '\n');
    }
  return g_string_free (text, FALSE);
}
