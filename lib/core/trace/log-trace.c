/*
 * log-trace.c: selects, sorts and formats the log lines about one request, sample or batch.
 */
#include "log-line.h"

#include <string.h>

/* Minimum width of the column of process names, in characters. */
#define PROCESS_COLUMN_WIDTH 12

struct _QuinceLogTrace
{
  GPtrArray *lines; /* QuinceLogLine, owned */
};

/* The workers, processes and period of the lines that contain the id. */
typedef struct
{
  GHashTable *workers;   /* ids, which the lines own */
  GHashTable *processes; /* names, which the lines own */
  gint64 first_us;       /* time of the first line; 0: no line yet */
  gint64 last_us;        /* time of the last line */
} TraceScope;

/* Keys whose value is the id of a request, sample or batch. */
static const char *const subject_keys[] = { "request", "sample", "batch" };

/* Events that give context to a trace: those about a worker if the worker is in scope, others if their
 * process is. */
static const char *const worker_context_events[] = { "worker_changed", "worker_gone", "weights_order_ended" };
static const char *const process_context_events[]
    = { "configuration", "dependency_lost", "dependency_regained", "entry_refused",
        "event_known",   "feed_ended",      "ledger_primary",      "ledger_recovered",
        "ledger_role",   "policy_in_force", "policy_failed",       "stopping",
        "version_named", "view_proposed",   "lease_lost",          "log_lines_left_out" };

QuinceLogTrace *
quince_log_trace_new (void)
{
  QuinceLogTrace *trace = g_new0 (QuinceLogTrace, 1);
  trace->lines = g_ptr_array_new_with_free_func (quince_log_line_free);
  return trace;
}

void
quince_log_trace_free (QuinceLogTrace *trace)
{
  if (trace == NULL)
    return;
  g_ptr_array_unref (trace->lines);
  g_free (trace);
}

void
quince_log_trace_add (QuinceLogTrace *trace, const char *text)
{
  const char *line_start = strstr (text, "time=");
  QuinceLogLine *line = line_start != NULL ? quince_log_line_parse (line_start, NULL) : NULL;
  if (line == NULL)
    return;
  line->sequence = trace->lines->len;
  g_ptr_array_add (trace->lines, line);
}

/* ---- Selection ---------------------------------------------------------- */

static gboolean
mentions_id (const QuinceLogLine *line, const char *id)
{
  for (guint i = 0; i < G_N_ELEMENTS (subject_keys); i++)
    if (g_strcmp0 (quince_log_line_get (line, subject_keys[i]), id) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
list_contains (const char *text, const char *const *list, gsize length)
{
  for (gsize i = 0; i < length; i++)
    if (g_str_equal (text, list[i]))
      return TRUE;
  return FALSE;
}

static void
extend_scope (TraceScope *trace_scope, const QuinceLogLine *line)
{
  const char *worker = quince_log_line_get (line, "worker");
  if (worker != NULL)
    g_hash_table_add (trace_scope->workers, (gpointer)worker);
  g_hash_table_add (trace_scope->processes, (gpointer)quince_log_line_get (line, "name"));
  if (trace_scope->first_us == 0 || line->time_us < trace_scope->first_us)
    trace_scope->first_us = line->time_us;
  trace_scope->last_us = MAX (trace_scope->last_us, line->time_us);
}

/* Returns the topic of a context line, or %NULL if the line gives no context to this trace. (transfer full)
 * Of the lines before the trace, only the latest of each topic is shown. */
static char *
get_context_topic (const TraceScope *trace_scope, const QuinceLogLine *line)
{
  const char *event = quince_log_line_get (line, "event");
  const char *process = quince_log_line_get (line, "name");
  const char *worker = quince_log_line_get (line, "worker");
  if (!g_hash_table_contains (trace_scope->processes, process) || line->time_us > trace_scope->last_us)
    return NULL;
  if (list_contains (event, worker_context_events, G_N_ELEMENTS (worker_context_events)) && worker != NULL)
    return g_hash_table_contains (trace_scope->workers, worker) ? g_strjoin (" ", process, worker, NULL)
                                                                : NULL;
  if (!list_contains (event, process_context_events, G_N_ELEMENTS (process_context_events)))
    return NULL;
  const char *dependency = quince_log_line_get (line, "what");
  const char *model = quince_log_line_get (line, "model");
  return g_strjoin (" ", process, dependency != NULL ? dependency : event, model != NULL ? model : "", NULL);
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const QuinceLogLine *first = *(QuinceLogLine *const *)a;
  const QuinceLogLine *second = *(QuinceLogLine *const *)b;
  if (first->time_us != second->time_us)
    return first->time_us < second->time_us ? -1 : 1;
  return first->sequence < second->sequence ? -1 : 1;
}

/* Selects the latest context line of each topic before the trace starts, and all context lines within it. */
static void
add_context (const QuinceLogTrace *trace, const TraceScope *trace_scope, GPtrArray *selected)
{
  g_autoptr (GHashTable) latest_by_topic = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < trace->lines->len; i++)
    {
      QuinceLogLine *line = trace->lines->pdata[i];
      g_autofree char *topic = get_context_topic (trace_scope, line);
      if (topic == NULL)
        continue;
      const QuinceLogLine *previous = g_hash_table_lookup (latest_by_topic, topic);
      if (line->time_us >= trace_scope->first_us)
        g_ptr_array_add (selected, line);
      else if (previous == NULL || previous->time_us <= line->time_us)
        g_hash_table_replace (latest_by_topic, g_steal_pointer (&topic), line);
    }
  GHashTableIter iter;
  gpointer line;
  g_hash_table_iter_init (&iter, latest_by_topic);
  while (g_hash_table_iter_next (&iter, NULL, &line))
    g_ptr_array_add (selected, line);
}

/* ---- Formatting --------------------------------------------------------- */

static void
format_line (GString *text, const QuinceLogLine *line, gint64 first_us, gboolean is_context)
{
  g_string_append_printf (text, "%+9.3f s  %-*s %s%s", (double)(line->time_us - first_us) / G_USEC_PER_SEC,
                          PROCESS_COLUMN_WIDTH, quince_log_line_get (line, "name"),
                          is_context ? "(belief) " : "", quince_log_line_get (line, "event"));
  for (guint i = 0; i < line->pairs->len; i++)
    {
      const QuinceLogPair *pair = &g_array_index (line->pairs, QuinceLogPair, i);
      static const char *const omitted_keys[] = { "time", "program", "name", "event", "level" };
      if (!list_contains (pair->key, omitted_keys, G_N_ELEMENTS (omitted_keys)))
        g_string_append_printf (text, " %s=%s", pair->key, pair->value);
    }
  g_string_append_c (text, '\n');
}

char *
quince_log_trace_format (const QuinceLogTrace *trace, const char *id)
{
  g_autoptr (GHashTable) workers = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) processes = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) selected = g_ptr_array_new ();
  TraceScope trace_scope = { .workers = workers, .processes = processes };
  for (guint i = 0; i < trace->lines->len; i++)
    {
      QuinceLogLine *line = trace->lines->pdata[i];
      if (!mentions_id (line, id))
        continue;
      extend_scope (&trace_scope, line);
      g_ptr_array_add (selected, line);
    }
  if (selected->len == 0)
    return NULL;
  add_context (trace, &trace_scope, selected);
  g_ptr_array_sort (selected, compare_lines);
  g_autoptr (GString) text = g_string_new (NULL);
  for (guint i = 0; i < selected->len; i++)
    format_line (text, selected->pdata[i], trace_scope.first_us, !mentions_id (selected->pdata[i], id));
  return g_string_free (g_steal_pointer (&text), FALSE);
}
