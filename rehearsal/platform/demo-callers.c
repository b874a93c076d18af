/*
 * demo-callers.c: sends the burst of requests and checks the answers.
 */
#include "demo-callers.h"

#include <string.h>

#include "http1/http-client.h"

/* Time after the deadline at which a call is abandoned and counted as unknown. */
#define CALL_TIMEOUT_MARGIN_MS 5000

typedef struct
{
  const QuinceMemberPlan *member;
  char *id;
  gboolean is_stream;
  gboolean done;
  QuinceHttpOutcome outcome;
  guint status;
  char *body;
  gboolean has_stamp;
  gint64 sent_us;
  gint64 duration_us;
} Call;

struct _DemoCallers
{
  DemoCluster *cluster;
  GPtrArray *pools; /* QuinceHttpPool, owned, one for each front */
  GPtrArray *calls; /* Call, owned */
};

static void
call_free (gpointer data)
{
  Call *call = data;
  g_free (call->id);
  g_free (call->body);
  g_free (call);
}

DemoCallers *
demo_callers_new (DemoCluster *cluster)
{
  DemoCallers *callers = g_new0 (DemoCallers, 1);
  callers->cluster = cluster;
  callers->calls = g_ptr_array_new_with_free_func (call_free);
  callers->pools = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_http_pool_unref);
  for (guint i = 0; i < cluster->fronts->len; i++)
    g_ptr_array_add (callers->pools, quince_http_pool_new (demo_cluster_get_front_address (cluster, i)));
  return callers;
}

void
demo_callers_free (DemoCallers *callers)
{
  if (callers == NULL)
    return;
  g_ptr_array_unref (callers->pools);
  g_ptr_array_unref (callers->calls);
  g_free (callers);
}

static void
handle_call_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  Call *call = data;
  const GByteArray *body = quince_http_exchange_get_body (exchange);
  const QuinceHttpHead *head = quince_http_exchange_get_head (exchange);
  call->done = TRUE;
  call->duration_us = g_get_monotonic_time () - call->sent_us;
  call->outcome = outcome;
  call->body = g_strndup (body->len > 0 ? (const char *)body->data : "", body->len);
  if (head == NULL)
    return;
  call->status = head->status;
  call->has_stamp = quince_http_headers_get (head->headers, "Server-Stamp") != NULL;
}

static const QuinceHttpExchangeCallbacks call_callbacks = { .done = handle_call_done };

static void
send_call (DemoCallers *callers, const QuinceMemberPlan *member, guint index)
{
  Call *call = g_new0 (Call, 1);
  call->member = member;
  call->id = g_strdup_printf ("%s-%u", member->name, index);
  call->is_stream = demo_is_model_service (callers->cluster->deployment, member->service);
  call->sent_us = g_get_monotonic_time ();
  g_ptr_array_add (callers->calls, call);
  g_autofree char *target = g_strdup_printf ("/%s/%u", member->kind, index);
  g_autofree char *deadline = g_strdup_printf ("%" G_GUINT64_FORMAT, member->deadline_ms);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", DEMO_HOST);
  quince_http_headers_add (headers, "Request-Id", call->id);
  quince_http_headers_add (headers, "Request-Deadline-Ms", deadline);
  g_autoptr (GBytes) body = g_bytes_new (call->id, strlen (call->id));
  const QuinceHttpRequest request
      = { .method = "POST",
          .target = target,
          .headers = headers,
          .body = body,
          .timeout_us = (gint64)(member->deadline_ms + CALL_TIMEOUT_MARGIN_MS) * 1000 };
  quince_http_pool_start (callers->pools->pdata[callers->calls->len % callers->pools->len], &request,
                          &call_callbacks, call);
}

void
demo_callers_send (DemoCallers *callers)
{
  const GPtrArray *members = callers->cluster->deployment->members;
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMemberPlan *member = members->pdata[i];
      for (guint j = 0; j < member->requests; j++)
        send_call (callers, member, j);
    }
}

gboolean
demo_callers_are_done (gpointer data)
{
  const DemoCallers *callers = data;
  for (guint i = 0; i < callers->calls->len; i++)
    if (!((Call *)callers->calls->pdata[i])->done)
      return FALSE;
  return TRUE;
}

/* ---- Results -------------------------------------------------------------- */

/* Returns: (transfer full): request id (owned by the workers) -> number of runs at all workers */
static GHashTable *
count_runs (const DemoCluster *cluster)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < cluster->workers->len; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (cluster->workers->pdata[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          char *id = ((StandinRun *)runs->pdata[j])->id;
          guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, id));
          g_hash_table_replace (counts, id, GUINT_TO_POINTER (count + 1));
        }
    }
  return counts;
}

static gboolean
is_complete_stream (const char *body)
{
  g_autoptr (GString) expected = g_string_new (NULL);
  for (guint i = 1; i <= DEMO_EVENTS_PER_STREAM; i++)
    g_string_append_printf (expected, "id: %u\ndata: e%u\n\n", i, i);
  return g_str_equal (body, expected->str);
}

static gboolean
is_complete_answer (const Call *call)
{
  if (call->is_stream)
    return is_complete_stream (call->body);
  g_autofree char *prefix = g_strdup_printf ("%s by %s", call->id, call->member->service);
  return g_str_has_prefix (call->body, prefix) && call->has_stamp;
}

static gint
compare_durations (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a, second = *(const gint64 *)b;
  return (first > second) - (first < second);
}

static void
add_call_to_stats (const Call *call, guint runs, DemoCallerStats *stats, GArray *durations_us)
{
  gboolean is_success = call->outcome == QUINCE_HTTP_ANSWERED && call->status == 200;
  gboolean is_refused = call->status == 503 || call->status == 429 || call->status == 408;
  stats->repeated += !call->is_stream && !call->member->repeatable && runs > 1;
  stats->refused += is_refused;
  stats->ran_though_refused += is_refused && runs > 0;
  stats->unknown += !is_success && !is_refused;
  stats->wrong += is_success && !is_complete_answer (call);
  if (!is_success)
    return;
  stats->answered++;
  stats->on_time += call->duration_us <= (gint64)call->member->deadline_ms * 1000;
  g_array_append_val (durations_us, call->duration_us);
}

void
demo_callers_get_stats (const DemoCallers *callers, DemoCallerStats *stats)
{
  g_autoptr (GHashTable) runs = count_runs (callers->cluster);
  g_autoptr (GArray) durations_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  *stats = (DemoCallerStats){ .requests = callers->calls->len };
  for (guint i = 0; i < callers->calls->len; i++)
    {
      const Call *call = callers->calls->pdata[i];
      add_call_to_stats (call, GPOINTER_TO_UINT (g_hash_table_lookup (runs, call->id)), stats, durations_us);
    }
  g_array_sort (durations_us, compare_durations);
  if (durations_us->len == 0)
    return;
  stats->p50_us = g_array_index (durations_us, gint64, durations_us->len / 2);
  stats->p99_us = g_array_index (durations_us, gint64, durations_us->len * 99 / 100);
}
