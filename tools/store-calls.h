/*
 * store-calls.h: synchronous calls to the metadata store.
 *
 * Each call runs the main loop until it has been answered or has timed out.  QuinceTool must have a client of
 * the store, which quince_tool_require_store() checks.
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

/* Maximum number of attempts of a write.  An attempt without an answer times out after 1 s; there is no delay
 * between attempts. Enough to outlast a change of the leader of the store, few enough that an operator knows
 * the outcome within half a minute. */
#define QUINCE_STORE_WRITE_ATTEMPTS_MAX 8

/* Result of a call. */
typedef struct
{
  gboolean succeeded;    /* if not, @error says why */
  QuinceMetaError error; /* UNKNOWN: the write may have been applied, or may be applied later */
  guint64 revision;      /* of the key read, or of the write; 0: the key does not exist, or failure */
  GBytes *value;         /* owned; value of the key read; NULL if it does not exist, and after a write */
} QuinceStoreAnswer;

void quince_store_answer_clear (QuinceStoreAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (QuinceStoreAnswer, quince_store_answer_clear)

/* Reads one key.  If it does not exist, the call succeeds with revision 0.  @answer: (inout): zeroed or a
 * previous answer, which is cleared first */
void quince_store_read_key (QuinceTool *tool, const char *key, QuinceStoreAnswer *answer);

/**
 * quince_store_write_key:
 * @value: (nullable): new value; %NULL: delete the key
 * @expected_revision: revision that the key must have; 0: the key must not exist; -1: no condition
 * @answer: (inout): zeroed or a previous answer, which is cleared first
 *
 * Writes one key, without retries.  The error is CONFLICT if the key has another revision.
 */
void quince_store_write_key (QuinceTool *tool,
                             const char *key,
                             GBytes *value,
                             gint64 expected_revision,
                             QuinceStoreAnswer *answer);

/* Writes the key @prefix + @name without a condition, or deletes it if @value is %NULL.  Tries up to
 * QUINCE_STORE_WRITE_ATTEMPTS_MAX times, and prints an error if all attempts fail. */
QuinceToolStatus
quince_store_put_entry (QuinceTool *tool, const char *prefix, const char *name, GBytes *value);

/* Called for each key of a prefix; @item is valid only until the function returns. */
typedef void (*QuinceStoreItemFunc) (const QuinceMetaItem *item, gpointer user_data);
/* Reads all keys that begin with @prefix, in key order, and calls @callback for each.  If the list is not
 * complete within 10 s, prints an error and returns QUINCE_TOOL_FAILED; some keys may have been reported. */
QuinceToolStatus quince_store_read_prefix (QuinceTool *tool,
                                           const char *prefix,
                                           QuinceStoreItemFunc callback,
                                           gpointer user_data);

/* Prints the error of a failed call and returns the exit status for it. */
QuinceToolStatus quince_store_report_error (QuinceMetaError error);

G_END_DECLS
