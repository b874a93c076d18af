/*
 * batch-submissions.c: accepts batches that fronts submit at the ledger's leader.
 */
#include "batch-submissions.h"

#include "runtime/log.h"

#include "batch-answers.h"
#include "platform.h"
#include "submission-reader.h"

/* New batches are refused while more samples than this have no result, which bounds the leader's memory. Room
 * for two steps of 8,192 samples for each of 11 trainers. */
#define SAMPLES_WITHOUT_RESULT_MAX 200000

struct _QuinceBatchSubmissions
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger;              /* borrowed */
  QuinceResidencyCoordinator *residency; /* borrowed */
  QuinceBatchMemory *memory;             /* borrowed */
  QuinceCallRefusals *refusals;          /* borrowed */
  QuinceBatchTable *table;               /* borrowed; NULL: not leading */
  GHashTable *uncommitted;               /* batch id to guint64, both owned: index of the record */
  QuinceSubmissionReader *reader;
  QuinceSubmissionAwaitCommit await_commit;
  gpointer user_data;
};

/* ---- Decoded batches -------------------------------------------------------- */

/* Appends a submission to the ledger.  A batch without a tenant is written in the older record format, which
 * versions without tenant support can read.
 * Returns: the index of the record, or 0 if it was not appended */
static guint64
append_submission (QuinceBatchSubmissions *submissions, const QuinceBatchJob *batch, const char *tenant)
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
  return quince_ledger_node_append (submissions->ledger, &record);
}

/* Returns: the index of the record, or 0 if the batch is refused with @refusal */
static guint64
accept_batch (QuinceBatchSubmissions *submissions,
              const QuinceBatchJob *batch,
              const char *tenant,
              QuinceLedgerRefusal *refusal)
{
  /* The lease may have ended while the batch was read. */
  *refusal = quince_ledger_node_get_accept_refusal (submissions->ledger);
  if (*refusal == QUINCE_LEDGER_REFUSAL_NONE && !quince_batch_memory_reserve (submissions->memory, batch))
    *refusal = QUINCE_LEDGER_REFUSAL_MEMORY;
  if (*refusal != QUINCE_LEDGER_REFUSAL_NONE)
    return 0;
  guint64 index = append_submission (submissions, batch, tenant);
  if (index != 0)
    return index;
  quince_batch_memory_forget (submissions->memory, batch->id);
  *refusal = QUINCE_LEDGER_REFUSAL_RECORD_INVALID;
  return 0;
}

static void
refuse_calls (QuinceBatchSubmissions *submissions,
              const QuinceSubmission *submission,
              QuinceLedgerRefusal refusal)
{
  quince_residency_coordinator_remove_admitted (submissions->residency, submission->id);
  for (guint i = 0; i < submission->calls->len; i++)
    {
      const QuinceSubmissionCall *call = &g_array_index (submission->calls, QuinceSubmissionCall, i);
      quince_call_refusals_answer (submissions->refusals, call->link, call->call_id, refusal, submission->id);
    }
}

static void
answer_malformed (QuinceBatchSubmissions *submissions,
                  const QuinceSubmission *submission,
                  const GError *error)
{
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_warning ("batch_refused", "batch=%s status=400 reason=%s", submission->id, reason);
  quince_residency_coordinator_remove_admitted (submissions->residency, submission->id);
  for (guint i = 0; i < submission->calls->len; i++)
    {
      const QuinceSubmissionCall *call = &g_array_index (submission->calls, QuinceSubmissionCall, i);
      quince_batch_answer_status (call->link, call->call_id, 400);
    }
}

static void
handle_read (const QuinceSubmission *submission, QuinceBatchJob *decoded, const GError *error, gpointer data)
{
  QuinceBatchSubmissions *submissions = data;
  g_autoptr (QuinceBatchJob) batch = decoded;
  if (error != NULL)
    {
      answer_malformed (submissions, submission, error);
      return;
    }
  QuinceLedgerRefusal refusal;
  guint64 index = accept_batch (submissions, batch, submission->tenant, &refusal);
  if (index == 0)
    {
      refuse_calls (submissions, submission, refusal);
      return;
    }
  g_hash_table_insert (submissions->uncommitted, g_strdup (submission->id), g_memdup2 (&index, sizeof index));
  for (guint i = 0; i < submission->calls->len; i++)
    {
      const QuinceSubmissionCall *call = &g_array_index (submission->calls, QuinceSubmissionCall, i);
      submissions->await_commit (call->link, call->call_id, submission->id, index, submissions->user_data);
    }
}

/* ---- Calls -------------------------------------------------------------------- */

/* Repeats the front's residency check, since the ledger's members may have changed since then. */
static gboolean
admit_by_residency (QuinceBatchSubmissions *submissions,
                    const QuinceServiceCall *call,
                    const QuinceHttpHeaders *headers,
                    const char *id)
{
  g_autoptr (GPtrArray) entries = quince_batch_table_list (submissions->table);
  const char *host = quince_http_headers_get (headers, "Host");
  gboolean admitted
      = quince_residency_coordinator_admit (submissions->residency, entries, id, host != NULL ? host : "",
                                            call->target, quince_platform_read_tenant (headers));
  if (!admitted)
    quince_log_warning ("batch_refused", "batch=- status=503 reason=residency");
  return admitted;
}

/* Returns: why a submission that is not known yet is refused now */
static QuinceLedgerRefusal
get_submission_refusal (QuinceBatchSubmissions *submissions,
                        guint samples_without_result,
                        const QuinceServiceCall *call,
                        const QuinceHttpHeaders *headers,
                        const char *id)
{
  QuinceLedgerRefusal refusal = quince_ledger_node_get_accept_refusal (submissions->ledger);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    return refusal;
  if (samples_without_result > SAMPLES_WITHOUT_RESULT_MAX)
    return QUINCE_LEDGER_REFUSAL_TOO_MANY_SAMPLES;
  return admit_by_residency (submissions, call, headers, id) ? QUINCE_LEDGER_REFUSAL_NONE
                                                             : QUINCE_LEDGER_REFUSAL_RESIDENCY;
}

static void
start_reading (QuinceBatchSubmissions *submissions,
               guint samples_without_result,
               QuinceLink *link,
               QuinceServiceCall *call,
               const QuinceHttpHeaders *headers,
               const char *id)
{
  QuinceLedgerRefusal refusal
      = get_submission_refusal (submissions, samples_without_result, call, headers, id);
  if (refusal == QUINCE_LEDGER_REFUSAL_NONE)
    quince_submission_reader_start (submissions->reader, link, call, headers, id,
                                    quince_link_take_hold (link));
  else
    quince_call_refusals_answer (submissions->refusals, link, call->id, refusal, id);
}

void
quince_batch_submissions_handle (QuinceBatchSubmissions *submissions,
                                 guint samples_without_result,
                                 QuinceLink *link,
                                 QuinceServiceCall *call,
                                 const QuinceHttpHeaders *headers)
{
  QuincePlatformRequestHeaders request_headers;
  quince_platform_read_request (headers, &request_headers);
  const char *id = request_headers.request_id;
  const guint64 *index = id != NULL ? g_hash_table_lookup (submissions->uncommitted, id) : NULL;
  const QuinceBatchEntry *known = id != NULL ? quince_batch_table_find (submissions->table, id) : NULL;
  gboolean is_visible
      = known == NULL || quince_batch_entry_is_visible (known, quince_platform_read_tenant (headers));
  if (id == NULL || !is_visible)
    quince_batch_answer_status (link, call->id, 400);
  else if (known != NULL)
    quince_batch_answer_status (link, call->id, 202);
  else if (index != NULL)
    submissions->await_commit (link, call->id, id, *index, submissions->user_data);
  else if (!quince_submission_reader_join (submissions->reader, id, link, call->id))
    start_reading (submissions, samples_without_result, link, call, headers, id);
}

/* ---- Large submissions that are arriving -------------------------------------- */

gboolean
quince_batch_submissions_admit (QuinceBatchSubmissions *submissions,
                                QuinceLink *link,
                                guint64 call_id,
                                gsize frame_bytes,
                                QuinceMemoryHold **hold)
{
  *hold = quince_batch_memory_admit_frame (submissions->memory, frame_bytes);
  if (*hold == NULL)
    quince_call_refusals_answer (submissions->refusals, link, call_id, QUINCE_LEDGER_REFUSAL_MEMORY, NULL);
  return *hold != NULL;
}

/* ---- State ---------------------------------------------------------------------- */

gboolean
quince_batch_submissions_is_pending (const QuinceBatchSubmissions *submissions, const char *id)
{
  return g_hash_table_contains (submissions->uncommitted, id)
         || quince_submission_reader_has (submissions->reader, id);
}

void
quince_batch_submissions_committed (QuinceBatchSubmissions *submissions, const char *id)
{
  g_hash_table_remove (submissions->uncommitted, id);
}

void
quince_batch_submissions_link_closed (QuinceBatchSubmissions *submissions, QuinceLink *link)
{
  quince_submission_reader_link_closed (submissions->reader, link);
}

static void
refuse_dropped (const QuinceSubmission *submission, gpointer data)
{
  refuse_calls (data, submission, QUINCE_LEDGER_REFUSAL_LEAD_ENDED);
}

void
quince_batch_submissions_stop_leading (QuinceBatchSubmissions *submissions)
{
  quince_submission_reader_clear (submissions->reader, refuse_dropped, submissions);
  g_hash_table_remove_all (submissions->uncommitted);
  submissions->table = NULL;
}

void
quince_batch_submissions_set_table (QuinceBatchSubmissions *submissions, QuinceBatchTable *table)
{
  submissions->table = table;
}

void
quince_batch_submissions_set_ledger (QuinceBatchSubmissions *submissions,
                                     QuinceLedgerNode *ledger,
                                     QuinceResidencyCoordinator *residency,
                                     QuinceBatchMemory *memory)
{
  submissions->ledger = ledger;
  submissions->residency = residency;
  submissions->memory = memory;
}

QuinceBatchSubmissions *
quince_batch_submissions_new (QuinceCallRefusals *refusals,
                              QuinceSubmissionAwaitCommit await_commit,
                              gpointer user_data)
{
  QuinceBatchSubmissions *submissions = g_new0 (QuinceBatchSubmissions, 1);
  submissions->refusals = refusals;
  submissions->await_commit = await_commit;
  submissions->user_data = user_data;
  submissions->uncommitted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  submissions->reader = quince_submission_reader_new (handle_read, submissions);
  return submissions;
}

void
quince_batch_submissions_free (QuinceBatchSubmissions *submissions)
{
  quince_submission_reader_free (submissions->reader);
  g_hash_table_unref (submissions->uncommitted);
  g_free (submissions);
}
