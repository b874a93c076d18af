/*
 * table.c: tables with aligned columns; see table.h.
 */
#include "table.h"

#include <stdarg.h>
#include <stdio.h>

#define COLUMN_SEPARATOR "  "

struct _QuinceTable
{
  guint n_columns;
  GPtrArray *cells; /* owned; strings in row order, starting with the headings */
};

QuinceTable *
quince_table_new (const char *const *headings)
{
  QuinceTable *table = g_new0 (QuinceTable, 1);
  table->cells = g_ptr_array_new_with_free_func (g_free);
  for (; headings[table->n_columns] != NULL; table->n_columns++)
    quince_table_add (table, headings[table->n_columns]);
  return table;
}

void
quince_table_free (QuinceTable *table)
{
  if (table == NULL)
    return;
  g_ptr_array_unref (table->cells);
  g_free (table);
}

void
quince_table_add (QuinceTable *table, const char *text)
{
  char *cell = text[0] != '\0' ? g_utf8_make_valid (text, -1) : g_strdup ("-");
  for (char *c = cell; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
  g_ptr_array_add (table->cells, cell);
}

void
quince_table_add_format (QuinceTable *table, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  quince_table_add (table, text);
}

static glong
get_column_width (const QuinceTable *table, guint column)
{
  glong width = 0;
  for (guint i = column; i < table->cells->len; i += table->n_columns)
    width = MAX (width, g_utf8_strlen (table->cells->pdata[i], -1));
  return width;
}

void
quince_table_print (const QuinceTable *table)
{
  g_autofree glong *widths = g_new (glong, table->n_columns);
  for (guint column = 0; column < table->n_columns; column++)
    widths[column] = get_column_width (table, column);
  for (guint i = 0; i < table->cells->len; i++)
    {
      const char *cell = table->cells->pdata[i];
      guint column = i % table->n_columns;
      gboolean is_last = column + 1 == table->n_columns;
      int padding = is_last ? 0 : (int)(widths[column] - g_utf8_strlen (cell, -1));
      printf ("%s%*s%s", cell, padding, "", is_last ? "\n" : COLUMN_SEPARATOR);
    }
}
