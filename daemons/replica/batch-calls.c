/*
 * batch-calls.c: answers fronts' calls about batches at the ledger's leader.
 */
#include "batch-calls.h"

#include "batchlog/result-cache.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/log.h"

#include "batch-answers.h"
#include "platform.h"

/* New batches are refused while more samples than this have no result, which bounds the leader's memory. Room
 * for two steps of 8,192 samples for each of 11 trainers. */
#define SAMPLES_WITHOUT_RESULT_MAX 200000
/* Limit of the cache of unpacked results.  Holds the texts of the last steps of three trainers (144 texts of
 * 8 kB each), and is a thirtieth of the memory of the smallest leaders (270 MB). */
#define RESULT_CACHE_MAX_BYTES (8 * 1024 * 1024)

/* A call that waits for a commit or for a result. */
typedef struct
{
  QuinceBatchCalls *calls;
  QuinceLink *link; /* owned */
  guint64 call_id;
  char *batch;
  guint64 record_index; /* record whose commit it waits for; 0: it waits for a result */
  guint64 position;     /* of the first result to return, from 0 */
  QuinceTimer *timer;   /* timeout of the wait for a result; NULL: it waits for a commit */
} WaitingCall;

struct _QuinceBatchCalls
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;
  QuinceResidencyCoordinator *residency;
  QuinceBatchTable *table;         /* NULL: not leading */
  GHashTable *pending_submissions; /* batch id to guint64, both owned: index of the uncommitted record */
  GPtrArray *waiting_calls;        /* WaitingCall, owned */
  QuinceResultCache *result_cache;
  QuinceCallRefusals *refusals; /* borrowed */
  QuinceResultQueue *results;   /* not owned; NULL: not leading */
  QuinceTimer *answer_timer; /* answers reads after all committed results were applied; NULL: none are new */
};

static void
waiting_call_free (gpointer data)
{
  WaitingCall *waiting_call = data;
  quince_timer_clear (&waiting_call->timer);
  quince_link_unref (waiting_call->link);
  g_free (waiting_call->batch);
  g_free (waiting_call);
}

static WaitingCall *
add_waiting_call (QuinceBatchCalls *calls, QuinceLink *link, guint64 id, const char *batch)
{
  WaitingCall *waiting_call = g_new0 (WaitingCall, 1);
  waiting_call->calls = calls;
  waiting_call->link = quince_link_ref (link);
  waiting_call->call_id = id;
  waiting_call->batch = g_strdup (batch);
  g_ptr_array_add (calls->waiting_calls, waiting_call);
  return waiting_call;
}

/* ---- Refusals and results ------------------------------------------------- */

static void
refuse_waiting_call (const WaitingCall *waiting_call, QuinceLedgerRefusal refusal)
{
  quince_call_refusals_answer (waiting_call->calls->refusals, waiting_call->link, waiting_call->call_id,
                               refusal, waiting_call->batch);
}

/* Answers with results, or refuses the call. */
static void
answer_results (QuinceBatchCalls *calls,
                QuinceLink *link,
                guint64 id,
                const QuinceBatchEntry *entry,
                guint64 position)
{
  QuinceLedgerRefusal refusal = quince_batch_answer_results (calls->result_cache, link, id, entry, position);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    quince_call_refusals_answer (calls->refusals, link, id, refusal, entry->batch->id);
}

/* ---- Waiting calls ------------------------------------------------------ */

static gboolean
handle_wait_timeout (gpointer data)
{
  WaitingCall *waiting_call = data;
  QuinceBatchCalls *calls = waiting_call->calls;
  QuinceBatchEntry *entry = quince_batch_table_find (calls->table, waiting_call->batch);
  QuinceLedgerRefusal refusal = quince_ledger_node_get_answer_refusal (calls->ledger);
  quince_timer_clear (&waiting_call->timer);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    refuse_waiting_call (waiting_call, refusal);
  else if (entry == NULL)
    refuse_waiting_call (waiting_call, QUINCE_LEDGER_REFUSAL_BATCH_FORGOTTEN);
  else
    answer_results (calls, waiting_call->link, waiting_call->call_id, entry, waiting_call->position);
  g_ptr_array_remove_fast (calls->waiting_calls, waiting_call);
  return G_SOURCE_REMOVE;
}

static void
handle_results_call (QuinceBatchCalls *calls,
                     QuinceLink *link,
                     const QuinceServiceCall *call,
                     const QuinceHttpHeaders *headers,
                     const QuinceCall *parsed,
                     QuinceBatchEntry *entry)
{
  guint wait_ms = quince_platform_read_wait_ms (headers);
  gboolean no_new_results = parsed->position >= entry->results->len;
  gboolean more_results_expected = !entry->ended && entry->results->len < entry->batch->items.items_len;
  if (!no_new_results || !more_results_expected || wait_ms == 0)
    {
      answer_results (calls, link, call->id, entry, parsed->position);
      return;
    }
  WaitingCall *waiting_call = add_waiting_call (calls, link, call->id, parsed->batch_id);
  waiting_call->position = parsed->position;
  waiting_call->timer = quince_timer_add (wait_ms, handle_wait_timeout, waiting_call);
}

/* ---- Changes ---------------------------------------------------------- */

/* A batch without a tenant is visible to every caller: it was submitted on a public route, or the
 * configuration has no tenants. */
static gboolean
is_visible_to_tenant (const QuinceBatchEntry *entry, const char *tenant)
{
  return *entry->tenant == '\0' || g_str_equal (entry->tenant, tenant);
}

/* Returns: the index of the record, or 0 if it was not appended */
static guint64
append_end (QuinceBatchCalls *calls, const QuinceBatchEntry *entry)
{
  /* A read that follows the answer to this call must return the results that are ready now. */
  if (calls->results != NULL)
    quince_result_queue_flush_batch (calls->results, entry->batch->id);
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_END };
  record.QuinceBatchRecord_u.ended = entry->batch->id;
  return quince_ledger_node_append (calls->ledger, &record);
}

static void
handle_end_call (QuinceBatchCalls *calls,
                 QuinceLink *link,
                 const QuinceServiceCall *call,
                 QuinceBatchEntry *entry)
{
  if (entry->ended)
    {
      quince_batch_answer_status (link, call->id, 200);
      return;
    }
  QuinceLedgerRefusal refusal = quince_ledger_node_get_accept_refusal (calls->ledger);
  guint64 index = refusal == QUINCE_LEDGER_REFUSAL_NONE ? append_end (calls, entry) : 0;
  if (index != 0)
    add_waiting_call (calls, link, call->id, entry->batch->id)->record_index = index;
  else
    quince_call_refusals_answer (calls->refusals, link, call->id,
                                 refusal != QUINCE_LEDGER_REFUSAL_NONE ? refusal
                                                                       : QUINCE_LEDGER_REFUSAL_RECORD_INVALID,
                                 entry->batch->id);
}

/* Appends a submission to the ledger.  A batch without a tenant is written in the older record format, which
 * versions without tenant support can read.
 * Returns: the index of the record, or 0 if it was not appended */
static guint64
append_submission (QuinceBatchCalls *calls, const QuinceBatchJob *batch, const char *tenant)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_SUBMIT };
  if (*tenant == '\0')
    record.QuinceBatchRecord_u.submit = *batch;
  else
    {
      record.kind = QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT;
      record.QuinceBatchRecord_u.submit_of_tenant.tenant = (char *)tenant;
      record.QuinceBatchRecord_u.submit_of_tenant.batch = *batch;
    }
  return quince_ledger_node_append (calls->ledger, &record);
}

static void
submit_batch (QuinceBatchCalls *calls,
              QuinceLink *link,
              const QuinceServiceCall *call,
              const QuinceHttpHeaders *headers,
              const char *id)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceBatchJob) batch
      = quince_platform_read_batch (call->body.body_val, call->body.body_len, &error);
  if (batch == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_warning ("batch_refused", "batch=%s status=400 reason=%s", id, reason);
      quince_residency_coordinator_remove_admitted (calls->residency, id);
      quince_batch_answer_status (link, call->id, 400);
      return;
    }
  g_free (batch->id);
  g_free (batch->host);
  g_free (batch->path);
  batch->id = quince_string (id);
  batch->host = quince_string (quince_http_headers_get (headers, "Host"));
  batch->path = quince_string (call->target);
  batch->submitted_ms = (guint64)quince_wall_ms ();
  guint64 index = append_submission (calls, batch, quince_platform_read_tenant (headers));
  if (index == 0)
    {
      quince_residency_coordinator_remove_admitted (calls->residency, id);
      quince_call_refusals_answer (calls->refusals, link, call->id, QUINCE_LEDGER_REFUSAL_RECORD_INVALID, id);
      return;
    }
  g_hash_table_insert (calls->pending_submissions, g_strdup (id), g_memdup2 (&index, sizeof index));
  add_waiting_call (calls, link, call->id, id)->record_index = index;
}

/* Repeats the front's residency check, since the ledger's members may have changed since then. */
static gboolean
admit_by_residency (QuinceBatchCalls *calls,
                    const QuinceServiceCall *call,
                    const QuinceHttpHeaders *headers,
                    const char *id)
{
  g_autoptr (GPtrArray) entries = quince_batch_table_list (calls->table);
  const char *host = quince_http_headers_get (headers, "Host");
  gboolean admitted
      = quince_residency_coordinator_admit (calls->residency, entries, id, host != NULL ? host : "",
                                            call->target, quince_platform_read_tenant (headers));
  if (!admitted)
    quince_log_warning ("batch_refused", "batch=- status=503 reason=residency");
  return admitted;
}

/* Returns: why a submission that is not known yet is refused now */
static QuinceLedgerRefusal
get_submission_refusal (QuinceBatchCalls *calls,
                        guint samples_without_result,
                        const QuinceServiceCall *call,
                        const QuinceHttpHeaders *headers,
                        const char *id)
{
  QuinceLedgerRefusal refusal = quince_ledger_node_get_accept_refusal (calls->ledger);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    return refusal;
  if (samples_without_result > SAMPLES_WITHOUT_RESULT_MAX)
    return QUINCE_LEDGER_REFUSAL_TOO_MANY_SAMPLES;
  return admit_by_residency (calls, call, headers, id) ? QUINCE_LEDGER_REFUSAL_NONE
                                                       : QUINCE_LEDGER_REFUSAL_RESIDENCY;
}

static void
accept_submission (QuinceBatchCalls *calls,
                   guint samples_without_result,
                   QuinceLink *link,
                   const QuinceServiceCall *call,
                   const QuinceHttpHeaders *headers,
                   const char *id)
{
  QuinceLedgerRefusal refusal = get_submission_refusal (calls, samples_without_result, call, headers, id);
  if (refusal == QUINCE_LEDGER_REFUSAL_NONE)
    submit_batch (calls, link, call, headers, id);
  else
    quince_call_refusals_answer (calls->refusals, link, call->id, refusal, id);
}

static void
handle_submission (QuinceBatchCalls *calls,
                   guint samples_without_result,
                   QuinceLink *link,
                   const QuinceServiceCall *call,
                   const QuinceHttpHeaders *headers)
{
  QuincePlatformRequestHeaders request_headers;
  quince_platform_read_request (headers, &request_headers);
  const char *id = request_headers.request_id;
  const guint64 *pending = id != NULL ? g_hash_table_lookup (calls->pending_submissions, id) : NULL;
  const QuinceBatchEntry *known = id != NULL ? quince_batch_table_find (calls->table, id) : NULL;
  if (id == NULL || (known != NULL && !is_visible_to_tenant (known, quince_platform_read_tenant (headers))))
    quince_batch_answer_status (link, call->id, 400);
  else if (known != NULL)
    quince_batch_answer_status (link, call->id, 202);
  else if (pending != NULL)
    add_waiting_call (calls, link, call->id, id)->record_index = *pending;
  else
    accept_submission (calls, samples_without_result, link, call, headers, id);
}

/* ---- Calls ------------------------------------------------------------ */

/* Answers a call about a batch that is unknown or not visible to the caller: 503 while its submission is
 * uncommitted, 401 if it exists and the caller has no key, and otherwise 404, which hides the batches of
 * other tenants. */
static void
answer_unavailable (QuinceBatchCalls *calls,
                    QuinceLink *link,
                    const QuinceServiceCall *call,
                    const char *batch_id,
                    const QuinceBatchEntry *entry,
                    const char *tenant)
{
  gboolean pending = batch_id != NULL && g_hash_table_contains (calls->pending_submissions, batch_id);
  if (entry != NULL)
    quince_batch_answer_status (link, call->id, *tenant == '\0' ? 401 : 404);
  else if (pending)
    quince_call_refusals_answer (calls->refusals, link, call->id,
                                 QUINCE_LEDGER_REFUSAL_SUBMISSION_UNCOMMITTED, batch_id);
  else
    quince_batch_answer_status (link, call->id, 404);
}

static void
handle_batch_call (QuinceBatchCalls *calls,
                   QuinceLink *link,
                   const QuinceServiceCall *call,
                   const QuinceHttpHeaders *headers,
                   const QuinceCall *parsed)
{
  QuinceBatchEntry *entry
      = parsed->batch_id != NULL ? quince_batch_table_find (calls->table, parsed->batch_id) : NULL;
  const char *tenant = quince_platform_read_tenant (headers);
  if (entry == NULL || !is_visible_to_tenant (entry, tenant))
    answer_unavailable (calls, link, call, parsed->batch_id, entry, tenant);
  else if (parsed->kind == QUINCE_CALL_RESULTS)
    handle_results_call (calls, link, call, headers, parsed, entry);
  else if (parsed->kind == QUINCE_CALL_ITEM)
    quince_batch_answer_item (link, call, parsed, entry);
  else if (parsed->kind == QUINCE_CALL_END_BATCH)
    handle_end_call (calls, link, call, entry);
  else
    quince_batch_answer_status (link, call->id, 404);
}

void
quince_batch_calls_handle_call (QuinceBatchCalls *calls,
                                guint samples_without_result,
                                QuinceLink *link,
                                const QuinceServiceCall *call)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_batch_call_copy_headers (call);
  QuinceCall parsed;
  quince_platform_read_call (call->method, call->target, &parsed);
  if (parsed.kind == QUINCE_CALL_REQUEST)
    handle_submission (calls, samples_without_result, link, call, headers);
  else
    handle_batch_call (calls, link, call, headers, &parsed);
  quince_platform_call_clear (&parsed);
}

/* ---- Completion of waiting calls ----------------------------------------- */

void
quince_batch_calls_link_closed (QuinceBatchCalls *calls, QuinceLink *link)
{
  for (guint i = calls->waiting_calls->len; i > 0; i--)
    if (((WaitingCall *)calls->waiting_calls->pdata[i - 1])->link == link)
      g_ptr_array_remove_index_fast (calls->waiting_calls, i - 1);
}

void
quince_batch_calls_submission_committed (QuinceBatchCalls *calls, const char *id)
{
  g_hash_table_remove (calls->pending_submissions, id);
}

void
quince_batch_calls_record_committed (QuinceBatchCalls *calls, guint64 index, guint status)
{
  for (guint i = calls->waiting_calls->len; i > 0; i--)
    {
      WaitingCall *waiting_call = calls->waiting_calls->pdata[i - 1];
      if (waiting_call->record_index != index)
        continue;
      quince_batch_answer_status (waiting_call->link, waiting_call->call_id, status);
      g_ptr_array_remove_index_fast (calls->waiting_calls, i - 1);
    }
}

/* Answers the calls that wait for a result that is now listed. */
static gboolean
answer_waiting_reads (gpointer data)
{
  QuinceBatchCalls *calls = data;
  quince_timer_clear (&calls->answer_timer);
  for (guint i = calls->waiting_calls->len; i > 0; i--)
    {
      WaitingCall *waiting_call = calls->waiting_calls->pdata[i - 1];
      const QuinceBatchEntry *entry = waiting_call->record_index == 0
                                          ? quince_batch_table_find (calls->table, waiting_call->batch)
                                          : NULL;
      if (entry == NULL || waiting_call->position >= entry->results->len)
        continue;
      answer_results (calls, waiting_call->link, waiting_call->call_id, entry, waiting_call->position);
      g_ptr_array_remove_index_fast (calls->waiting_calls, i - 1);
    }
  return G_SOURCE_REMOVE;
}

/* The timer fires after all results that were committed together are applied, so that a waiting read returns
 * all of them and not only the first. */
void
quince_batch_calls_handle_result (QuinceBatchCalls *calls)
{
  if (calls->answer_timer == NULL)
    calls->answer_timer = quince_timer_add (0, answer_waiting_reads, calls);
}

void
quince_batch_calls_stop_leading (QuinceBatchCalls *calls)
{
  for (guint i = 0; i < calls->waiting_calls->len; i++)
    {
      const WaitingCall *waiting_call = calls->waiting_calls->pdata[i];
      /* The next leader may still commit a record that is in the log. */
      refuse_waiting_call (waiting_call, waiting_call->record_index != 0
                                             ? QUINCE_LEDGER_REFUSAL_OUTCOME_UNKNOWN
                                             : QUINCE_LEDGER_REFUSAL_LEAD_ENDED);
    }
  g_ptr_array_set_size (calls->waiting_calls, 0);
  quince_timer_clear (&calls->answer_timer);
  g_hash_table_remove_all (calls->pending_submissions);
  calls->table = NULL;
  /* Frees the memory, since this replica may not lead again for a long time. */
  quince_result_cache_free (calls->result_cache);
  calls->result_cache = quince_result_cache_new (RESULT_CACHE_MAX_BYTES);
}

/* ---- Lifecycle ----------------------------------------------------------- */

QuinceBatchCalls *
quince_batch_calls_new (QuinceCallRefusals *refusals)
{
  QuinceBatchCalls *calls = g_new0 (QuinceBatchCalls, 1);
  calls->refusals = refusals;
  calls->pending_submissions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  calls->waiting_calls = g_ptr_array_new_with_free_func (waiting_call_free);
  calls->result_cache = quince_result_cache_new (RESULT_CACHE_MAX_BYTES);
  return calls;
}

void
quince_batch_calls_free (QuinceBatchCalls *calls)
{
  quince_timer_clear (&calls->answer_timer);
  g_ptr_array_unref (calls->waiting_calls);
  g_hash_table_unref (calls->pending_submissions);
  quince_result_cache_free (calls->result_cache);
  g_free (calls);
}

void
quince_batch_calls_set_ledger (QuinceBatchCalls *calls,
                               QuinceLedgerNode *ledger,
                               QuinceResidencyCoordinator *residency)
{
  calls->ledger = ledger;
  calls->residency = residency;
}

void
quince_batch_calls_set_results (QuinceBatchCalls *calls, QuinceResultQueue *results)
{
  calls->results = results;
}

void
quince_batch_calls_set_table (QuinceBatchCalls *calls, QuinceBatchTable *table)
{
  calls->table = table;
}
