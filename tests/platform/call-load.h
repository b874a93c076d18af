/*
 * call-load.h: sends lookups and streams through all fronts and checks their answers against the runs that
 * the workers recorded.
 */
#pragma once

#include "path-world.h"

#define CALL_EVENTS 6
/* Deadline of each request; path_start_call() sends it in a header. */
#define CALL_DEADLINE_MS 3000
/* A request that ran must be answered this long after its deadline at the latest. */
#define CALL_ANSWER_GRACE_MS 500

typedef enum
{
  CALL_LOOKUP,                /* may be retried                   */
  CALL_NON_IDEMPOTENT_LOOKUP, /* must run at most once            */
  CALL_STREAM,                /* may be resumed at another worker */
  CALL_NON_RESUMABLE_STREAM,  /* must run at most once            */
  CALL_KINDS
} CallKind;

static const char *const call_targets[CALL_KINDS] = { "/l/call", "/n/call", "/s/call", "/u/call" };

typedef struct
{
  char *id;
  CallKind kind;
  guint front;
  gint64 started_us;
  gint64 done_us; /* 0 while the call is in flight */
  PathAnswer answer;
} Call;

typedef struct
{
  PathWorld *world;
  GPtrArray *calls; /* Call, owned */
  guint total;      /* calls to start in all */
  guint timer;
  char *name; /* prefix of the request ids */
} CallLoad;

typedef struct
{
  guint calls;
  guint complete;
  guint refused;  /* answered with a status that means: not run */
  guint failed;   /* any other answer */
  guint cut;      /* no answer, or a partial one */
  guint repeated; /* ran more than once */
} CallLoadCounts;

/* Writes the configuration of path-world.h with an additional route for non-idempotent lookups. */
static inline void
call_load_configure (PathWorld *world, guint version)
{
  g_autofree char *text = g_strdup_printf (PATH_CONFIGURATION, version);
  g_auto (GStrv) parts = g_strsplit (text, "{\"name\":\"l\",", 2);
  g_autofree char *changed = g_strjoinv (
      "{\"name\":\"n\",\"host\":\"" PATH_HOST "\",\"pathPrefix\":\"/n/\",\"kind\":\"non_idempotent\","
      "\"timeoutMs\":2000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"svc\",\"maxAttempts\":3},"
      "{\"name\":\"l\",",
      parts);
  standin_store_put (world->store, "op/config", changed);
}

static inline void
call_free (gpointer data)
{
  Call *call = data;
  path_answer_clear (&call->answer);
  g_free (call->id);
  g_free (call);
}

/* ---- Sending calls ------------------------------------------------------------ */

static inline Call *
call_load_start_call (CallLoad *load, CallKind kind, guint front)
{
  Call *call = g_new0 (Call, 1);
  call->id = g_strdup_printf ("%s-%u", load->name, load->calls->len);
  call->kind = kind;
  call->front = front;
  call->started_us = g_get_monotonic_time ();
  g_ptr_array_add (load->calls, call);
  path_start_call (path_front (load->world, front), "POST", call_targets[kind], call->id, call->id,
                   &call->answer);
  return call;
}

static inline gboolean
call_load_start_next (gpointer data)
{
  CallLoad *load = data;
  guint index = load->calls->len;
  if (index == load->total)
    {
      load->timer = 0;
      return G_SOURCE_REMOVE;
    }
  call_load_start_call (load, index % CALL_KINDS, index / CALL_KINDS % PATH_FRONTS);
  return G_SOURCE_CONTINUE;
}

/* Starts @total calls, one every @interval_ms, alternating between kinds and fronts.  If @total is 0, the
 * caller starts them itself. */
static inline CallLoad *
call_load_new (PathWorld *world, const char *name, guint total, guint interval_ms)
{
  CallLoad *load = g_new0 (CallLoad, 1);
  load->world = world;
  load->name = g_strdup (name);
  load->calls = g_ptr_array_new_with_free_func (call_free);
  load->total = total;
  if (total > 0)
    load->timer = g_timeout_add (interval_ms, call_load_start_next, load);
  return load;
}

/* Starts no more calls; those in flight continue. */
static inline void
call_load_stop (CallLoad *load)
{
  if (load->timer != 0)
    g_source_remove (load->timer);
  load->timer = 0;
  load->total = load->calls->len;
}

static inline void
call_load_free (CallLoad *load)
{
  call_load_stop (load);
  g_ptr_array_unref (load->calls);
  g_free (load->name);
  g_free (load);
}

/* Returns the number of calls that have ended; records the time at which each is first seen to have ended. */
static inline guint
call_load_count_done (CallLoad *load)
{
  guint count = 0;
  for (guint i = 0; i < load->calls->len; i++)
    {
      Call *call = load->calls->pdata[i];
      if (call->answer.done && call->done_us == 0)
        call->done_us = g_get_monotonic_time ();
      count += call->answer.done;
    }
  return count;
}

static inline void
call_load_await (CallLoad *load)
{
  AWAIT (call_load_count_done (load) == load->total);
}

/* ---- Checking answers ------------------------------------------------------------ */

static inline const StandinWorker *
call_load_worker (const PathWorld *world, guint index)
{
  return index < PATH_PLAIN ? world->plain[index] : world->model[index - PATH_PLAIN];
}

/* Returns: (transfer full): the number of runs at all workers by request id; the ids belong to the workers */
static inline GHashTable *
call_load_collect_runs (const PathWorld *world)
{
  GHashTable *runs = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      const GPtrArray *worker_runs = standin_worker_get_runs (call_load_worker (world, i));
      for (guint j = 0; j < worker_runs->len; j++)
        {
          char *id = ((StandinRun *)worker_runs->pdata[j])->id;
          guint count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
          g_hash_table_replace (runs, id, GUINT_TO_POINTER (count + 1));
        }
    }
  return runs;
}

/* Returns the number of runs of all calls of @load so far. */
static inline guint
call_load_count_runs (const CallLoad *load)
{
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      const GPtrArray *worker_runs = standin_worker_get_runs (call_load_worker (load->world, i));
      for (guint j = 0; j < worker_runs->len; j++)
        count += g_str_has_prefix (((StandinRun *)worker_runs->pdata[j])->id, load->name);
    }
  return count;
}

static inline char *
call_expected_stream (void)
{
  GString *text = g_string_new (NULL);
  for (guint i = 1; i <= CALL_EVENTS; i++)
    g_string_append_printf (text, "id: %u\ndata: e%u\n\n", i, i);
  return g_string_free (text, FALSE);
}

static inline gboolean
call_is_stream (const Call *call)
{
  return call->kind == CALL_STREAM || call->kind == CALL_NON_RESUMABLE_STREAM;
}

static inline gboolean
call_must_run_at_most_once (const Call *call)
{
  return call->kind == CALL_NON_IDEMPOTENT_LOOKUP || call->kind == CALL_NON_RESUMABLE_STREAM;
}

/* Returns TRUE if the received body is a prefix of the expected one.  For a lookup, only the bytes up to
 * "ID by p" are compared. */
static inline gboolean
call_has_valid_prefix (const Call *call)
{
  g_autofree char *expected
      = call_is_stream (call) ? call_expected_stream () : g_strdup_printf ("%s by p", call->id);
  gsize compared
      = call_is_stream (call) ? call->answer.body_length : MIN (call->answer.body_length, strlen (expected));
  return strncmp (call->answer.body, expected, compared) == 0;
}

static inline gboolean
call_is_complete (const Call *call)
{
  if (call->answer.outcome != QUINCE_HTTP_ANSWERED || call->answer.status != 200
      || call->answer.signature == NULL)
    return FALSE;
  if (!call_is_stream (call))
    return call_has_valid_prefix (call) && strlen (call->answer.body) > strlen (call->id) + strlen (" by p");
  g_autofree char *stream = call_expected_stream ();
  return g_str_equal (call->answer.body, stream);
}

/* Returns TRUE if the status means that the call has not run and will not run. */
static inline gboolean
call_is_refused (const Call *call)
{
  static const guint statuses[] = { 408, 421, 429, 503 };
  for (guint i = 0; i < G_N_ELEMENTS (statuses); i++)
    if (call->answer.status == statuses[i])
      return TRUE;
  return FALSE;
}

static inline void
call_fail (const Call *call, guint runs, const char *reason)
{
  fail_msg ("%s %s at front %u: %s; outcome=%d status=%u runs=%u took_ms=%d body=%s", call->id,
            call_targets[call->kind], call->front, reason, (int)call->answer.outcome, call->answer.status,
            runs, (int)((call->done_us - call->started_us) / 1000), call->answer.body);
}

static inline void
call_check (const Call *call, guint runs, CallLoadCounts *counts)
{
  gboolean answered = call->answer.outcome == QUINCE_HTTP_ANSWERED;
  gboolean complete = call_is_complete (call);
  gboolean refused = answered && call_is_refused (call);
  if (call->answer.status == 200 && answered && !complete)
    call_fail (call, runs, "status 200 with an incomplete answer");
  if (call->answer.status == 200 && !call_has_valid_prefix (call))
    call_fail (call, runs, "the body has bytes of another answer");
  if (refused && runs > 0)
    call_fail (call, runs, "refused as not run, but it ran");
  if (refused && call->answer.retry_after == NULL)
    call_fail (call, runs, "refused without a Retry-After header");
  if (complete && runs == 0)
    call_fail (call, runs, "complete answer, but no worker ran it");
  if (call_must_run_at_most_once (call) && runs > 1)
    call_fail (call, runs, "ran more than once");
  counts->calls++;
  counts->complete += complete;
  counts->refused += refused;
  counts->cut += !answered;
  counts->failed += answered && !complete && !refused;
  counts->repeated += runs > 1;
}

/* Asserts that complete answers are correct, that refused calls did not run, and that calls which must run at
 * most once did. */
static inline CallLoadCounts
call_load_check (CallLoad *load)
{
  g_autoptr (GHashTable) runs = call_load_collect_runs (load->world);
  CallLoadCounts counts = { 0 };
  for (guint i = 0; i < load->calls->len; i++)
    {
      const Call *call = load->calls->pdata[i];
      assert_true (call->answer.done);
      call_check (call, GPOINTER_TO_UINT (g_hash_table_lookup (runs, call->id)), &counts);
    }
  print_message ("  calls=%u complete=%u refused=%u failed=%u cut=%u repeated=%u\n", counts.calls,
                 counts.complete, counts.refused, counts.failed, counts.cut, counts.repeated);
  return counts;
}

/* Asserts that calls that did not run ended by their deadline, and the others by CALL_ANSWER_GRACE_MS after
 * it. */
static inline void
call_load_assert_deadlines (CallLoad *load)
{
  g_autoptr (GHashTable) runs = call_load_collect_runs (load->world);
  for (guint i = 0; i < load->calls->len; i++)
    {
      const Call *call = load->calls->pdata[i];
      guint call_runs = GPOINTER_TO_UINT (g_hash_table_lookup (runs, call->id));
      gint64 took_ms = (call->done_us - call->started_us) / 1000;
      if (took_ms > CALL_DEADLINE_MS + (call_runs > 0 ? CALL_ANSWER_GRACE_MS : 0))
        call_fail (call, call_runs, "ended too long after its deadline");
    }
}
