/*
 * table.h: tables with aligned columns for the terminal.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceTable QuinceTable;

/* @headings: (array zero-terminated=1): column headings */
QuinceTable *quince_table_new (const char *const *headings);
void quince_table_free (QuinceTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTable, quince_table_free)

/* Appends a copy of @text as the next cell of the row; a full row is followed by a new one.  An empty text is
 * shown as '-', and each control character as '?'. */
void quince_table_add (QuinceTable *table, const char *text);
void quince_table_add_format (QuinceTable *table, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Prints the headings and all rows to standard output. */
void quince_table_print (const QuinceTable *table);

G_END_DECLS
