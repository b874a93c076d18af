/*
 * test-surplus-soak.c: callers and a trainer keep using a deployment whose workers send surplus answers,
 * refuse, and break off, while its processes are stopped and killed; seeded by SOAK_SEED, SOAK_STEPS seeds.
 *
 * What must hold: an at-most-once stream runs once at most, and not at all if it was refused; an answer 200
 * is that of the request, whole; no sample is abandoned, since no worker fails or rejects one; every text is
 * whole.
 */
#include <stdlib.h>

#include "path-world.h"
#include "soak-seeds.h"
#include "surplus-answers.h"

#define TROUBLE_MS 6000
#define STEP_MS 20
#define ITEMS 6
#define BATCHES_MAX 3
#define STOP_STEPS 20
/* One in so many steps. */
#define STEPS_PER_BATCH 80
#define STEPS_PER_SIGNAL 90
#define WHOLE_STREAM                                                                                         \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n"          \
  "id: 6\ndata: e6\n\n"
#define WHOLE_TEXT "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""

typedef enum
{
  CALL_LOOKUP,
  CALL_STREAM_ONCE, /* may run once at most */
  CALL_STREAM,      /* may be resumed */
  N_CALL_KINDS,
} CallKind;

static const char *const call_targets[N_CALL_KINDS] = { "/l/1", "/u/1", "/s/1" };

typedef struct
{
  CallKind kind;
  char *id;
  PathAnswer answer;
} Call;

typedef struct
{
  PathWorld *path;
  GRand *random;
  GPtrArray *calls;                   /* Call, owned */
  QuinceHttpPool *pools[PATH_FRONTS]; /* kept connections of the callers */
  GPtrArray *batches;                 /* names of accepted batches, owned */
  QuinceProcess *stopped;
  guint stopped_steps;
  gint killed_replica; /* -1: none */
} Soak;

static void
call_free (gpointer data)
{
  Call *call = data;
  path_answer_clear (&call->answer);
  g_free (call->id);
  g_free (call);
}

static gboolean
chance (Soak *soak, gint one_in)
{
  return g_rand_int_range (soak->random, 0, one_in) == 0;
}

/* ---- Traffic --------------------------------------------------------------- */

static void
start_call (Soak *soak)
{
  Call *call = g_new0 (Call, 1);
  guint front = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS);
  call->kind = (CallKind)g_rand_int_range (soak->random, 0, N_CALL_KINDS);
  call->id = g_strdup_printf ("call-%u", soak->calls->len);
  g_ptr_array_add (soak->calls, call);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", PATH_HOST);
  quince_http_headers_add (headers, "Request-Id", call->id);
  quince_http_headers_add (headers, "Request-Deadline-Ms", "3000");
  g_autoptr (GBytes) body = g_bytes_new (call->id, strlen (call->id));
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = call_targets[call->kind],
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = 8 * G_USEC_PER_SEC };
  quince_http_pool_start (soak->pools[front], &request, &path_callbacks, &call->answer);
}

static void
submit_batch (Soak *soak)
{
  char *batch = g_strdup_printf ("batch-%u", soak->batches->len);
  g_autofree char *text = path_make_batch (batch, ITEMS);
  g_ptr_array_add (soak->batches, batch);
  AWAIT (path_status (path_front (soak->path, 0), "POST", "/r/batch", batch, text) == 202);
}

/* ---- Trouble --------------------------------------------------------------- */

/* Makes a random worker send surplus answers, refuse or break off a few times. */
static void
disturb_worker (Soak *soak)
{
  guint index = (guint)g_rand_int_range (soak->random, 0, PATH_PLAIN + PATH_MODEL);
  StandinWorker *worker
      = index < PATH_PLAIN ? soak->path->plain[index] : soak->path->model[index - PATH_PLAIN];
  guint count = (guint)g_rand_int_range (soak->random, 1, 4);
  switch (g_rand_int_range (soak->random, 0, 5))
    {
    case 0:
      standin_worker_set_fault (worker, STANDIN_WORKER_REFUSES, count);
      break;
    case 1:
      standin_worker_set_fault (worker, STANDIN_WORKER_TRUNCATES, 1);
      break;
    case 2:
      standin_worker_set_surplus_answer (
          worker, unnamed_answers[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (unnamed_answers))], 1);
      break;
    default:
      standin_worker_set_surplus_answer (
          worker, other_answers[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (other_answers))], count);
    }
}

static void
resume_stopped (Soak *soak)
{
  if (soak->stopped != NULL)
    quince_process_resume (soak->stopped);
  soak->stopped = NULL;
}

/* Stops a front or a replica for a moment, or kills a replica; one process at a time. */
static void
disturb_process (Soak *soak)
{
  if (soak->killed_replica >= 0)
    {
      path_start_replica (soak->path, (guint)soak->killed_replica);
      soak->killed_replica = -1;
      return;
    }
  guint replica = (guint)g_rand_int_range (soak->random, 0, PATH_REPLICAS);
  if (chance (soak, 2))
    {
      quince_process_kill (soak->path->replicas[replica]);
      soak->killed_replica = (gint)replica;
      return;
    }
  if (soak->stopped != NULL)
    return;
  soak->stopped = chance (soak, 2) ? soak->path->replicas[replica]
                                   : soak->path->fronts[g_rand_int_range (soak->random, 0, PATH_FRONTS)];
  soak->stopped_steps = STOP_STEPS;
  quince_process_suspend (soak->stopped);
}

static void
run_trouble (Soak *soak)
{
  for (guint step = 0; step < TROUBLE_MS / STEP_MS; step++)
    {
      start_call (soak);
      if (chance (soak, 3))
        disturb_worker (soak);
      if (step % STEPS_PER_BATCH == 0 && soak->batches->len < BATCHES_MAX && soak->stopped == NULL)
        submit_batch (soak);
      if (soak->stopped != NULL && soak->stopped_steps-- == 0)
        resume_stopped (soak);
      if (chance (soak, STEPS_PER_SIGNAL))
        disturb_process (soak);
      run_for (STEP_MS);
    }
  resume_stopped (soak);
  if (soak->killed_replica >= 0)
    path_start_replica (soak->path, (guint)soak->killed_replica);
  soak->killed_replica = -1;
}

/* ---- Checks ---------------------------------------------------------------- */

static guint
count_runs_of (const Soak *soak, const char *id)
{
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (i < PATH_PLAIN ? soak->path->plain[i]
                                                                      : soak->path->model[i - PATH_PLAIN]);
      for (guint j = 0; j < runs->len; j++)
        count += g_strcmp0 (((const StandinRun *)runs->pdata[j])->id, id) == 0;
    }
  return count;
}

static gboolean
is_own_answer (const Call *call)
{
  if (call->kind != CALL_LOOKUP)
    return strcmp (call->answer.body, WHOLE_STREAM) == 0;
  g_autofree char *own = g_strconcat (call->id, " by p", NULL);
  return g_str_has_prefix (call->answer.body, own);
}

static void
check_call (const Soak *soak, guint32 seed, const Call *call)
{
  guint runs = count_runs_of (soak, call->id);
  guint status = call->answer.status;
  gboolean complete = call->answer.outcome == QUINCE_HTTP_ANSWERED;
  gboolean refused = complete && (status == 503 || status == 429 || status == 421 || status == 408);
  if (call->kind == CALL_STREAM_ONCE && runs > 1)
    fail_msg ("seed %u: %s ran %u times", seed, call->id, runs);
  if (call->kind == CALL_STREAM_ONCE && refused && runs > 0)
    fail_msg ("seed %u: %s got %u and ran", seed, call->id, status);
  if (complete && status == 200 && !is_own_answer (call))
    fail_msg ("seed %u: %s got %s", seed, call->id, call->answer.body);
}

static void
check_batch (Soak *soak, guint32 seed, const char *batch)
{
  AWAIT (path_count_results (soak->path, 0, batch) == ITEMS);
  g_autofree char *results = path_read_results (soak->path, 0, batch);
  if (path_count_occurrences (results, "\"state\":\"completed\"") != ITEMS
      || path_count_occurrences (results, WHOLE_TEXT) != ITEMS)
    fail_msg ("seed %u: %s", seed, results);
}

static void
check_seed (guint32 seed)
{
  Soak soak = { .random = g_rand_new_with_seed (seed), .killed_replica = -1 };
  soak.calls = g_ptr_array_new_with_free_func (call_free);
  soak.batches = g_ptr_array_new_with_free_func (g_free);
  soak.path = path_world_new ("surplus-soak");
  path_world_start (soak.path);
  for (guint i = 0; i < PATH_FRONTS; i++)
    soak.pools[i] = quince_http_pool_new (path_front (soak.path, i));
  run_trouble (&soak);
  guint answered = 0;
  for (guint i = 0; i < soak.calls->len; i++)
    {
      Call *call = soak.calls->pdata[i];
      AWAIT (call->answer.done);
      check_call (&soak, seed, call);
      answered += call->answer.status == 200;
    }
  for (guint i = 0; i < soak.batches->len; i++)
    check_batch (&soak, seed, soak.batches->pdata[i]);
  print_message ("seed %u: %u of %u calls answered, %u batches whole\n", seed, answered, soak.calls->len,
                 soak.batches->len);
  for (guint i = 0; i < PATH_FRONTS; i++)
    quince_http_pool_unref (soak.pools[i]);
  path_world_free (soak.path);
  g_ptr_array_unref (soak.calls);
  g_ptr_array_unref (soak.batches);
  g_rand_free (soak.random);
}

static void
test_surplus_answers (void **state)
{
  guint32 first = get_first_seed ();
  guint32 n_seeds = get_n_seeds (1);
  for (guint32 seed = first; seed < first + n_seeds; seed++)
    check_seed (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_surplus_answers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
