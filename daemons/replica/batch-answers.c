/*
 * batch-answers.c: formats and sends the answers to fronts' calls about batches.
 */
#include "batch-answers.h"

#include <string.h>

#include "core/decisions/retry-after.h"
#include "runtime/log.h"
#include "runtime/clock.h"

#include "platform.h"

/* Result text in one answer.  The platform limits the whole JSON body to 1 MB. */
#define RESULTS_MAX_BYTES (700 * 1024)

/* ---- Answers ---------------------------------------------------------- */

static void
reply (QuinceLink *link,
       guint64 id,
       guint status,
       const char *content_type,
       GBytes *body,
       guint retry_after_ms)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_SERVICE_REPLY };
  QuinceServiceReply *wire = &message.QuinceMessage_u.service_reply;
  wire->id = id;
  wire->status = status;
  wire->content_type = (char *)content_type;
  wire->retry_after_ms = retry_after_ms;
  /* The body is the last part of the message. */
  if (body != NULL)
    quince_link_send_with_tail (link, &message, body);
  else
    quince_link_send (link, &message);
}

void
quince_batch_answer_status (QuinceLink *link, guint64 id, guint status)
{
  reply (link, id, status, "", NULL, 0);
}

void
quince_batch_answer_refusal (QuinceLink *link, guint64 id, QuinceLedgerRefusal refusal)
{
  const QuinceRetryAfterInput refused = { .cause = QUINCE_REFUSED_LEDGER };
  const char *name = quince_ledger_refusal_get_name (refusal);
  guint status = quince_ledger_refusal_get_status (refusal);
  /* Fronts ignore the body of an answer of 500 and above, except to log it.  They pass others on. */
  g_autoptr (GBytes) reason = status >= 500 ? g_bytes_new_static (name, strlen (name)) : NULL;
  reply (link, id, status, reason != NULL ? "text/plain" : "", reason,
         status != 504 ? quince_retry_after_ms (&refused) : 0);
}

/* Decodes results from @position on and appends them to @results until their text reaches @max_bytes. Decodes
 * at least one if there is one.
 * Returns: %FALSE with @error if a result can't be decoded */
static gboolean
decode_results (QuinceResultCache *cache,
                const QuinceBatchEntry *entry,
                guint64 position,
                gsize max_bytes,
                GPtrArray *results,
                GError **error)
{
  gsize bytes = 0;
  for (guint64 i = position; i < entry->results->len && (results->len == 0 || bytes < max_bytes); i++)
    {
      const QuinceEncodedResult *encoded_result = entry->results->pdata[i];
      const QuinceBatchResult *result = quince_result_cache_get (cache, encoded_result->body, error);
      if (result == NULL)
        return FALSE;
      g_ptr_array_add (results, (gpointer)result);
      bytes += result->text.text_len;
    }
  return TRUE;
}

QuinceLedgerRefusal
quince_batch_answer_results (QuinceResultCache *cache,
                             QuinceLink *link,
                             guint64 id,
                             const QuinceBatchEntry *entry,
                             guint64 position)
{
  quince_result_cache_trim (cache);
  g_autoptr (GPtrArray) results = g_ptr_array_new (); /* owned by the cache */
  g_autoptr (GError) error = NULL;
  gsize max_bytes = RESULTS_MAX_BYTES;
  if (entry->results->len > position)
    max_bytes = quince_link_acquire_answer (link, RESULTS_MAX_BYTES);
  if (max_bytes == 0)
    return QUINCE_LEDGER_REFUSAL_LINK_FULL;
  if (!decode_results (cache, entry, position, max_bytes, results, &error))
    {
      quince_log_failure ("result_unreadable", "batch=%s code=%d", entry->batch->id, error->code);
      return QUINCE_LEDGER_REFUSAL_RESULT_UNREADABLE;
    }
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (QuincePlatformResult));
  for (guint i = 0; i < results->len; i++)
    {
      const QuinceBatchResult *result = results->pdata[i];
      QuincePlatformResult row = { entry->batch->items.items_val[result->item].id, result };
      g_array_append_val (rows, row);
    }
  g_autoptr (GBytes) body
      = quince_platform_format_results (entry->batch->items.items_len, position + rows->len,
                                        (const QuincePlatformResult *)rows->data, rows->len);
  reply (link, id, 200, "application/json", body, 0);
  if (rows->len > 0)
    quince_link_finish_answer (link);
  return QUINCE_LEDGER_REFUSAL_NONE;
}

QuinceLedgerRefusal
quince_batch_answer_item (QuinceBatchMemory *memory,
                          QuinceLink *link,
                          const QuinceServiceCall *call,
                          const QuinceCall *parsed,
                          const QuinceBatchEntry *entry)
{
  gint index = parsed->item_id != NULL ? quince_batch_entry_find_item (entry, parsed->item_id) : -1;
  if (index < 0)
    {
      quince_batch_answer_status (link, call->id, 404);
      return QUINCE_LEDGER_REFUSAL_NONE;
    }
  const QuinceBatchItem *item = &entry->batch->items.items_val[index];
  if (!quince_link_has_room (link, item->body.body_len))
    return QUINCE_LEDGER_REFUSAL_LINK_FULL;
  g_autoptr (GBytes) body = quince_batch_memory_copy (memory, item->body.body_val, item->body.body_len);
  if (body == NULL)
    return QUINCE_LEDGER_REFUSAL_MEMORY;
  reply (link, call->id, 200, "application/octet-stream", body, 0);
  return QUINCE_LEDGER_REFUSAL_NONE;
}

QuinceHttpHeaders *
quince_batch_call_copy_headers (const QuinceServiceCall *call)
{
  QuinceHttpHeaders *headers = quince_http_headers_new ();
  for (guint i = 0; i < call->headers.headers_len; i++)
    quince_http_headers_add (headers, call->headers.headers_val[i].name, call->headers.headers_val[i].value);
  return headers;
}
