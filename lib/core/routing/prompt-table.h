/*
 * prompt-table.h: which worker was last given a part of a prompt, and so likely keeps it in its memory.
 *
 * A prompt is a series of parts, those that it shares with others first.  Bounded: the parts that were used
 * longest ago are forgotten.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuincePromptTable QuincePromptTable;

/* @most: parts that are remembered */
QuincePromptTable *quince_prompt_table_new (guint most);
void quince_prompt_table_free (QuincePromptTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePromptTable, quince_prompt_table_free)

/* The prompt with @parts (%NULL-terminated) goes to @worker. */
void quince_prompt_table_note (QuincePromptTable *table, const char *const *parts, const char *worker);
/* Returns: (nullable): the worker that was given the last part of @parts that any was given; lives until the
 * table changes */
const char *quince_prompt_table_find (const QuincePromptTable *table, const char *const *parts);

G_END_DECLS
