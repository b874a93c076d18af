/*
 * prompt-table.h: the worker that last got a part of a prompt, and so likely has it in its prefix cache.
 *
 * A prompt is a list of parts, those that it shares with others first.  Bounded: the least recently used
 * parts are dropped.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuincePromptTable QuincePromptTable;

/* @parts_max: parts that are kept */
QuincePromptTable *quince_prompt_table_new (guint parts_max);
void quince_prompt_table_free (QuincePromptTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePromptTable, quince_prompt_table_free)

/* The prompt with @parts (%NULL-terminated) is sent to @worker. */
void quince_prompt_table_record (QuincePromptTable *table, const char *const *parts, const char *worker);
/* Returns: (nullable): the worker of the last known one of @parts; valid until the table changes */
const char *quince_prompt_table_find_worker (const QuincePromptTable *table, const char *const *parts);

G_END_DECLS
