/*
 * store-calls.c: synchronous calls to the metadata store; see store-calls.h.
 */
#include "store-calls.h"

#include "meta/meta-mirror.h"

/* Maximum read interval and feed timeout of the mirror.  The list does not depend on them, and the mirror is
 * freed once the list is complete. */
#define MIRROR_READ_INTERVAL_MS 1000
/* Long enough for several retries of the mirror. */
#define LIST_TIMEOUT_MS 10000

/* ---- One key ---------------------------------------------------------------- */

typedef struct
{
  QuinceTool *tool;
  QuinceStoreAnswer *answer;
} Call;

void
quince_store_answer_clear (QuinceStoreAnswer *answer)
{
  g_clear_pointer (&answer->value, g_bytes_unref);
  *answer = (QuinceStoreAnswer){ 0 };
}

static void
handle_store_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  Call *call = data;
  QuinceStoreAnswer *answer = call->answer;
  answer->succeeded = error == NULL;
  answer->error = error != NULL ? (QuinceMetaError)error->code : 0;
  answer->revision = number;
  if (page != NULL && page->items->len > 0)
    {
      const QuinceMetaItem *item = page->items->pdata[0];
      answer->value = item->value != NULL ? g_bytes_ref (item->value) : NULL;
      answer->revision = item->revision;
    }
  quince_tool_finish (call->tool, QUINCE_TOOL_OK);
}

void
quince_store_read_key (QuinceTool *tool, const char *key, QuinceStoreAnswer *answer)
{
  Call call = { tool, answer };
  quince_store_answer_clear (answer);
  quince_meta_store_get (tool->meta, key, handle_store_reply, &call);
  quince_tool_wait (tool);
  if (!answer->succeeded && answer->error == QUINCE_META_ERROR_GONE)
    *answer = (QuinceStoreAnswer){ .succeeded = TRUE };
}

void
quince_store_write_key (QuinceTool *tool,
                        const char *key,
                        GBytes *value,
                        gint64 expected_revision,
                        QuinceStoreAnswer *answer)
{
  const QuinceMetaChange change = { .key = key, .expected_revision = expected_revision, .value = value };
  Call call = { tool, answer };
  quince_store_answer_clear (answer);
  quince_meta_store_change (tool->meta, &change, 1, handle_store_reply, &call);
  quince_tool_wait (tool);
}

QuinceToolStatus
quince_store_put_entry (QuinceTool *tool, const char *prefix, const char *name, GBytes *value)
{
  g_autofree char *key = g_strconcat (prefix, name, NULL);
  g_auto (QuinceStoreAnswer) answer = { 0 };
  gboolean outcome_unknown = FALSE;
  for (guint i = 0; i < QUINCE_STORE_WRITE_ATTEMPTS_MAX; i++)
    {
      quince_store_write_key (tool, key, value, -1, &answer);
      if (answer.succeeded)
        return QUINCE_TOOL_OK;
      outcome_unknown = outcome_unknown || answer.error == QUINCE_META_ERROR_UNKNOWN;
    }
  return quince_store_report_error (outcome_unknown ? QUINCE_META_ERROR_UNKNOWN : answer.error);
}

/* ---- Lists ------------------------------------------------------------------ */

typedef struct
{
  QuinceTool *tool;
  QuinceStoreItemFunc callback;
  gpointer user_data;
  gboolean timed_out;
} PrefixRead;

static void
handle_mirror_item (const QuinceMetaItem *item, gpointer data)
{
  PrefixRead *prefix_read = data;
  prefix_read->callback (item, prefix_read->user_data);
}

static void
handle_mirror_synced (gpointer data)
{
  quince_tool_finish (((PrefixRead *)data)->tool, QUINCE_TOOL_OK);
}

static gboolean
handle_list_timeout (gpointer data)
{
  PrefixRead *prefix_read = data;
  prefix_read->timed_out = TRUE;
  quince_tool_finish (prefix_read->tool, QUINCE_TOOL_FAILED);
  return G_SOURCE_CONTINUE;
}

QuinceToolStatus
quince_store_read_prefix (QuinceTool *tool,
                          const char *prefix,
                          QuinceStoreItemFunc callback,
                          gpointer user_data)
{
  static const QuinceMetaMirrorCallbacks callbacks
      = { .item = handle_mirror_item, .synced = handle_mirror_synced };
  static const QuinceMetaMirrorTimes times
      = { .read_interval_max_ms = MIRROR_READ_INTERVAL_MS, .feed_timeout_ms = MIRROR_READ_INTERVAL_MS };
  PrefixRead prefix_read = { .tool = tool, .callback = callback, .user_data = user_data };
  QuinceMetaMirror *mirror = quince_meta_mirror_new (tool->meta, prefix, 0, &callbacks, &prefix_read);
  quince_meta_mirror_set_times (mirror, &times);
  guint timer = g_timeout_add (LIST_TIMEOUT_MS, handle_list_timeout, &prefix_read);
  quince_tool_wait (tool);
  g_source_remove (timer);
  quince_meta_mirror_free (mirror);
  return prefix_read.timed_out ? quince_store_report_error (QUINCE_META_ERROR_UNAVAILABLE) : tool->status;
}

/* ---- Failures ---------------------------------------------------------------- */

QuinceToolStatus
quince_store_report_error (QuinceMetaError error)
{
  switch (error)
    {
    case QUINCE_META_ERROR_CONFLICT:
      quince_tool_fail ("conflict", "another write changed the key first");
      return QUINCE_TOOL_CONFLICT;
    case QUINCE_META_ERROR_UNKNOWN:
      quince_tool_fail ("unknown", "the write may or may not take effect");
      return QUINCE_TOOL_UNKNOWN;
    case QUINCE_META_ERROR_UNAVAILABLE:
    case QUINCE_META_ERROR_GONE:
    case QUINCE_META_ERROR_MALFORMED:
    default:
      return quince_tool_fail ("unreachable", "the metadata store does not answer or rejects calls");
    }
}
