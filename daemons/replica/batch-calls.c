/*
 * batch-calls.c: answers fronts' calls about batches.
 *
 * What is acknowledged is committed first.  A call that this replica cannot answer for sure gets 503, but a
 * submission that may have reached the log gets 504: it may yet run.
 */
#include "batch-service-private.h"

#include <string.h>

#include "runtime/log.h"
#include "runtime/clock.h"

#include "batch-answers.h"
#include "platform.h"

/* Samples that are not listed, over all batches: more are refused. */
#define SAMPLES_MAX 200000

void
quince_batch_waiter_free (gpointer data)
{
  QuinceBatchWaiter *waiter = data;
  quince_source_clear (&waiter->timer);
  quince_link_unref (waiter->link);
  g_free (waiter->batch);
  g_free (waiter);
}

static QuinceBatchWaiter *
add_waiter (QuinceBatchService *service, QuinceLink *link, guint64 id, const char *batch)
{
  QuinceBatchWaiter *waiter = g_new0 (QuinceBatchWaiter, 1);
  waiter->service = service;
  waiter->link = quince_link_ref (link);
  waiter->id = id;
  waiter->batch = g_strdup (batch);
  g_ptr_array_add (service->waiters, waiter);
  return waiter;
}

/* ---- Calls that wait -------------------------------------------------- */

static gboolean
waited_enough (gpointer data)
{
  QuinceBatchWaiter *waiter = data;
  QuinceBatchService *service = waiter->service;
  QuinceBatchEntry *entry = quince_batch_book_find (service->book, waiter->batch);
  quince_source_clear (&waiter->timer);
  if (entry != NULL && quince_ledger_node_may_answer (service->ledger))
    quince_batch_answer_results (service->results, waiter->link, waiter->id, entry, waiter->position);
  else
    quince_batch_answer_status (waiter->link, waiter->id, 503);
  g_ptr_array_remove_fast (service->waiters, waiter);
  return G_SOURCE_REMOVE;
}

static void
answer_results (QuinceBatchService *service,
                QuinceLink *link,
                const QuinceServiceCall *call,
                const QuinceHttpHeaders *headers,
                const QuinceCall *parsed,
                QuinceBatchEntry *entry)
{
  guint wait_ms = quince_platform_read_wait (headers);
  gboolean nothing = parsed->position >= entry->results->len;
  gboolean more_may_come = !entry->ended && entry->results->len < entry->batch->items.items_len;
  if (!nothing || !more_may_come || wait_ms == 0)
    {
      quince_batch_answer_results (service->results, link, call->id, entry, parsed->position);
      return;
    }
  QuinceBatchWaiter *waiter = add_waiter (service, link, call->id, parsed->id);
  waiter->position = parsed->position;
  waiter->timer = quince_timer_add (wait_ms, waited_enough, waiter);
}

/* ---- Changes ---------------------------------------------------------- */

/* A batch without a tenant belongs to every caller: it came by a public route, or without tenants. */
static gboolean
belongs_to (const QuinceBatchEntry *entry, const char *tenant)
{
  return *entry->tenant == '\0' || g_str_equal (entry->tenant, tenant);
}

static void
answer_end (QuinceBatchService *service,
            QuinceLink *link,
            const QuinceServiceCall *call,
            QuinceBatchEntry *entry)
{
  if (entry->ended)
    {
      quince_batch_answer_status (link, call->id, 200);
      return;
    }
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_END };
  record.QuinceBatchRecord_u.ended = entry->batch->id;
  guint64 index = quince_ledger_node_append (service->ledger, &record);
  add_waiter (service, link, call->id, entry->batch->id)->index = index;
}

/* Appends a submission.  A batch without a tenant is written as builds that know no tenants read it. */
static guint64
append_submission (QuinceBatchService *service, const QuinceBatchJob *batch, const char *tenant)
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
  return quince_ledger_node_append (service->ledger, &record);
}

static void
take_batch (QuinceBatchService *service,
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
      quince_residency_coordinator_settle (service->residency, id);
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
  guint64 index = append_submission (service, batch, quince_platform_read_tenant (headers));
  if (index == 0)
    {
      quince_residency_coordinator_settle (service->residency, id);
      quince_batch_answer_status (link, call->id, 503);
      return;
    }
  g_hash_table_insert (service->submitting, g_strdup (id), g_memdup2 (&index, sizeof index));
  add_waiter (service, link, call->id, id)->index = index;
}

/* The front looked too; the ledger's machines may have changed since. */
static gboolean
residency_allows (QuinceBatchService *service,
                  const QuinceServiceCall *call,
                  const QuinceHttpHeaders *headers,
                  const char *id)
{
  g_autoptr (GPtrArray) entries = quince_batch_service_list (service);
  const char *host = quince_http_headers_get (headers, "Host");
  gboolean may
      = quince_residency_coordinator_admit (service->residency, entries, id, host != NULL ? host : "",
                                            call->target, quince_platform_read_tenant (headers));
  if (!may)
    quince_log_warning ("batch_refused", "batch=- status=503 reason=residency");
  return may;
}

static void
answer_submit (QuinceBatchService *service,
               QuinceLink *link,
               const QuinceServiceCall *call,
               const QuinceHttpHeaders *headers)
{
  QuincePlatformRequestFacts facts;
  quince_platform_read_request (headers, &facts);
  const char *id = facts.request_id;
  const guint64 *pending = id != NULL ? g_hash_table_lookup (service->submitting, id) : NULL;
  const QuinceBatchEntry *known = id != NULL ? quince_batch_book_find (service->book, id) : NULL;
  if (id == NULL || (known != NULL && !belongs_to (known, quince_platform_read_tenant (headers))))
    quince_batch_answer_status (link, call->id, 400);
  else if (known != NULL)
    quince_batch_answer_status (link, call->id, 202);
  else if (pending != NULL)
    add_waiter (service, link, call->id, id)->index = *pending;
  else if (!quince_ledger_node_may_accept (service->ledger))
    quince_batch_answer_status (link, call->id, 503);
  else if (service->unlisted > SAMPLES_MAX)
    quince_batch_answer_status (link, call->id, 429);
  else if (!residency_allows (service, call, headers, id))
    quince_batch_answer_status (link, call->id, 503);
  else
    take_batch (service, link, call, headers, id);
}

/* ---- Calls ------------------------------------------------------------ */

/* 404 for a batch of another tenant, as if it did not exist; 401 for a caller without a key. */
static guint
status_of_unknown (const QuinceBatchEntry *entry, const char *tenant, gboolean pending)
{
  if (entry != NULL)
    return *tenant == '\0' ? 401 : 404;
  return pending ? 503 : 404;
}

static void
answer_about_batch (QuinceBatchService *service,
                    QuinceLink *link,
                    const QuinceServiceCall *call,
                    const QuinceHttpHeaders *headers,
                    const QuinceCall *parsed)
{
  QuinceBatchEntry *entry = parsed->id != NULL ? quince_batch_book_find (service->book, parsed->id) : NULL;
  gboolean pending = parsed->id != NULL && g_hash_table_contains (service->submitting, parsed->id);
  const char *tenant = quince_platform_read_tenant (headers);
  if (entry == NULL || !belongs_to (entry, tenant))
    quince_batch_answer_status (link, call->id, status_of_unknown (entry, tenant, pending));
  else if (parsed->kind == QUINCE_CALL_RESULTS)
    answer_results (service, link, call, headers, parsed, entry);
  else if (parsed->kind == QUINCE_CALL_ITEM)
    quince_batch_answer_item (link, call, parsed, entry);
  else if (parsed->kind == QUINCE_CALL_END)
    answer_end (service, link, call, entry);
  else
    quince_batch_answer_status (link, call->id, 404);
}

void
quince_batch_service_call (QuinceBatchService *service, QuinceLink *link, const QuinceServiceCall *call)
{
  /* While a new leader reads its log the book is not whole. */
  if (service->runner == NULL || !quince_ledger_node_may_answer (service->ledger))
    {
      quince_batch_answer_status (link, call->id, 503);
      return;
    }
  g_autoptr (QuinceHttpHeaders) headers = quince_batch_call_copy_headers (call);
  QuinceCall parsed;
  quince_platform_read_call (call->method, call->target, &parsed);
  if (parsed.kind == QUINCE_CALL_REQUEST)
    answer_submit (service, link, call, headers);
  else
    answer_about_batch (service, link, call, headers, &parsed);
  quince_platform_call_clear (&parsed);
}

void
quince_batch_service_link_closed (QuinceBatchService *service, QuinceLink *link)
{
  for (guint i = service->waiters->len; i > 0; i--)
    if (((QuinceBatchWaiter *)service->waiters->pdata[i - 1])->link == link)
      g_ptr_array_remove_index_fast (service->waiters, i - 1);
}

/* ---- Calls that end ----------------------------------------------------- */

void
quince_batch_calls_answer_committed (QuinceBatchService *service, guint64 index, guint status)
{
  for (guint i = service->waiters->len; i > 0; i--)
    {
      QuinceBatchWaiter *waiter = service->waiters->pdata[i - 1];
      if (waiter->index != index)
        continue;
      quince_batch_answer_status (waiter->link, waiter->id, status);
      g_ptr_array_remove_index_fast (service->waiters, i - 1);
    }
}

void
quince_batch_calls_end_all (QuinceBatchService *service)
{
  for (guint i = 0; i < service->waiters->len; i++)
    {
      QuinceBatchWaiter *waiter = service->waiters->pdata[i];
      /* What is in the log may yet be committed by the next leader. */
      quince_batch_answer_status (waiter->link, waiter->id, waiter->index != 0 ? 504 : 503);
    }
  g_ptr_array_set_size (service->waiters, 0);
}
