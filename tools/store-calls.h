/*
 * store-calls.h: calls of the operator's commands to the metadata store; each runs the main loop until it is
 * answered.
 *
 * Owns nothing between calls.  Relies on the client of the store in QuinceTool, which must be open
 * (quince_tool_require_store()).
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

/* Sends of one write at most, of which each waits for its answer for up to 1 s.  Not measured: enough for an
 * operator to outlast a change of the store's leader, few enough that the outcome is known within half a
 * minute. */
#define QUINCE_STORE_WRITE_ATTEMPTS_MAX 8

/* What the store answered to one call. */
typedef struct
{
  gboolean succeeded;    /* it was carried out; else @error says why not */
  QuinceMetaError error; /* UNKNOWN: a write may be carried out, now or some seconds later */
  guint64 revision;      /* of the key read or written; 0: the key is not there */
  GBytes *value;         /* owned (nullable): of the key read */
} QuinceStoreAnswer;

void quince_store_answer_clear (QuinceStoreAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (QuinceStoreAnswer, quince_store_answer_clear)

/* Reads one key; that it is not there is an answer with revision 0.  @answer is cleared first. */
void quince_store_read_key (QuinceTool *tool, const char *key, QuinceStoreAnswer *answer);

/**
 * quince_store_write_key:
 * @value: (nullable): %NULL: remove the key
 * @expected_revision: revision that the key must have, 0: none, -1: no condition
 * @answer: (out): cleared first
 *
 * One send of one write.
 */
void quince_store_write_key (QuinceTool *tool,
                             const char *key,
                             GBytes *value,
                             gint64 expected_revision,
                             QuinceStoreAnswer *answer);

/* Writes, or removes where @value is %NULL, a key without a condition, which may be repeated: sends until one
 * is answered.  A failure is printed. */
QuinceToolStatus
quince_store_put_entry (QuinceTool *tool, const char *prefix, const char *name, GBytes *value);

/* Called for each key of a prefix. */
typedef void (*QuinceStoreItemFunc) (const QuinceMetaItem *item, gpointer user_data);
/* Reads all keys that begin with @prefix, in their order. */
QuinceToolStatus quince_store_read_prefix (QuinceTool *tool,
                                           const char *prefix,
                                           QuinceStoreItemFunc callback,
                                           gpointer user_data);

/* Prints a failed call and maps it to the exit status. */
QuinceToolStatus quince_store_report_error (QuinceMetaError error);

G_END_DECLS
