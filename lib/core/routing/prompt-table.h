/*
 * prompt-table.h: the worker that was last sent each prompt part, for prefix-cache affinity.
 *
 * A prompt is a list of parts, starting with the parts that it shares with other prompts.  The table has a
 * fixed capacity and evicts the least recently used parts.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuincePromptTable QuincePromptTable;

/* @parts_max: capacity, in prompt parts */
QuincePromptTable *quince_prompt_table_new (guint parts_max);
void quince_prompt_table_free (QuincePromptTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePromptTable, quince_prompt_table_free)

/* Records that the prompt with @parts (%NULL-terminated) is sent to the worker with the id @worker. */
void quince_prompt_table_record (QuincePromptTable *table, const char *const *parts, const char *worker);
/* Returns: (nullable): the id of the worker that was last sent the last known part of @parts
 * (%NULL-terminated), or %NULL if no part is known; valid until the table changes */
const char *quince_prompt_table_find_worker (const QuincePromptTable *table, const char *const *parts);

G_END_DECLS
