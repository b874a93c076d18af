/*
 * batch-calls.c: answers fronts' calls about batches at the ledger's leader.
 */
#include "batch-calls.h"

#include "batchlog/result-cache.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/log.h"

#include "batch-answers.h"
#include "batch-submissions.h"
#include "platform.h"

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
  QuinceBatchTable *table; /* NULL: not leading */
  QuinceBatchSubmissions *submissions;
  QuinceBatchMemory *memory; /* borrowed */
  GPtrArray *waiting_calls;  /* WaitingCall, owned */
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

/* A submission waits for its record. */
static void
await_commit (QuinceLink *link, guint64 call_id, const char *batch, guint64 record_index, gpointer data)
{
  add_waiting_call (data, link, call_id, batch)->record_index = record_index;
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

/* Answers with the body of an item, or refuses the call. */
static void
answer_item (QuinceBatchCalls *calls,
             QuinceLink *link,
             const QuinceServiceCall *call,
             const QuinceCall *parsed,
             const QuinceBatchEntry *entry)
{
  QuinceLedgerRefusal refusal = quince_batch_answer_item (calls->memory, link, call, parsed, entry);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    quince_call_refusals_answer (calls->refusals, link, call->id, refusal, entry->batch->id);
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
  gboolean pending = batch_id != NULL && quince_batch_submissions_is_pending (calls->submissions, batch_id);
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
  if (entry == NULL || !quince_batch_entry_is_visible (entry, tenant))
    answer_unavailable (calls, link, call, parsed->batch_id, entry, tenant);
  else if (parsed->kind == QUINCE_CALL_RESULTS)
    handle_results_call (calls, link, call, headers, parsed, entry);
  else if (parsed->kind == QUINCE_CALL_ITEM)
    answer_item (calls, link, call, parsed, entry);
  else if (parsed->kind == QUINCE_CALL_END_BATCH)
    handle_end_call (calls, link, call, entry);
  else
    quince_batch_answer_status (link, call->id, 404);
}

void
quince_batch_calls_handle_call (QuinceBatchCalls *calls,
                                guint samples_without_result,
                                QuinceLink *link,
                                QuinceServiceCall *call)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_batch_call_copy_headers (call);
  QuinceCall parsed;
  quince_platform_read_call (call->method, call->target, &parsed);
  if (parsed.kind == QUINCE_CALL_REQUEST)
    quince_batch_submissions_handle (calls->submissions, samples_without_result, link, call, headers);
  else
    handle_batch_call (calls, link, call, headers, &parsed);
  quince_platform_call_clear (&parsed);
}

gboolean
quince_batch_calls_admit (QuinceBatchCalls *calls,
                          QuinceLink *link,
                          guint64 call_id,
                          gsize frame_bytes,
                          QuinceMemoryHold **hold)
{
  return quince_batch_submissions_admit (calls->submissions, link, call_id, frame_bytes, hold);
}

/* ---- Completion of waiting calls ----------------------------------------- */

void
quince_batch_calls_link_closed (QuinceBatchCalls *calls, QuinceLink *link)
{
  quince_batch_submissions_link_closed (calls->submissions, link);
  for (guint i = calls->waiting_calls->len; i > 0; i--)
    if (((WaitingCall *)calls->waiting_calls->pdata[i - 1])->link == link)
      g_ptr_array_remove_index_fast (calls->waiting_calls, i - 1);
}

void
quince_batch_calls_submission_committed (QuinceBatchCalls *calls, const char *id)
{
  quince_batch_submissions_committed (calls->submissions, id);
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
  quince_batch_submissions_stop_leading (calls->submissions);
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
  calls->submissions = quince_batch_submissions_new (refusals, await_commit, calls);
  calls->waiting_calls = g_ptr_array_new_with_free_func (waiting_call_free);
  calls->result_cache = quince_result_cache_new (RESULT_CACHE_MAX_BYTES);
  return calls;
}

void
quince_batch_calls_free (QuinceBatchCalls *calls)
{
  quince_timer_clear (&calls->answer_timer);
  g_ptr_array_unref (calls->waiting_calls);
  quince_batch_submissions_free (calls->submissions);
  quince_result_cache_free (calls->result_cache);
  g_free (calls);
}

void
quince_batch_calls_set_ledger (QuinceBatchCalls *calls,
                               QuinceLedgerNode *ledger,
                               QuinceResidencyCoordinator *residency,
                               QuinceBatchMemory *memory)
{
  calls->ledger = ledger;
  calls->memory = memory;
  quince_batch_submissions_set_ledger (calls->submissions, ledger, residency, memory);
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
  quince_batch_submissions_set_table (calls->submissions, table);
}
