/*
 * line-diff.c: unified diff of two texts; see line-diff.h.
 */
#include "line-diff.h"

#include <string.h>

/* Unchanged lines printed before and after a change, as diff -u does. */
#define CONTEXT_LINES 3
/* Maximum size of the LCS table: 64 MiB, for about 4,000 lines of each text.  Above it, all lines between the
 * common first and last lines are replaced. */
#define LCS_TABLE_MAX_CELLS (16 * 1024 * 1024)

typedef struct
{
  char sign;              /* ' ': unchanged, '-': removed, '+': added */
  const char *text;       /* not owned */
  gboolean lacks_newline; /* the text ends with this line, without a newline */
  guint old_line;         /* number of lines of the old text before this one */
  guint new_line;         /* number of lines of the new text before this one */
} DiffLine;

typedef struct
{
  char **lines; /* owned */
  guint n_lines;
  gboolean lacks_newline; /* the last line does not end with a newline */
} TextLines;

static TextLines
split_lines (const char *text)
{
  TextLines result = { .lines = g_strsplit (text, "\n", -1) };
  result.n_lines = g_strv_length (result.lines);
  result.lacks_newline = result.n_lines > 0 && result.lines[result.n_lines - 1][0] != '\0';
  if (result.n_lines > 0 && !result.lacks_newline)
    result.n_lines--;
  return result;
}

static gboolean
are_lines_equal (const TextLines *old_lines, guint i, const TextLines *new_lines, guint j)
{
  gboolean old_lacks_newline = old_lines->lacks_newline && i + 1 == old_lines->n_lines;
  gboolean new_lacks_newline = new_lines->lacks_newline && j + 1 == new_lines->n_lines;
  return old_lacks_newline == new_lacks_newline && strcmp (old_lines->lines[i], new_lines->lines[j]) == 0;
}

/* Returns: (transfer full): the LCS table of the @n_old and @n_new lines after the common first @n_prefix
 * lines.  Cell i * (n_new + 1) + j has the LCS length of the old lines from i and the new lines from j. */
static guint32 *
compute_lcs_lengths (const TextLines *old_lines,
                     const TextLines *new_lines,
                     guint n_prefix,
                     guint n_old,
                     guint n_new)
{
  guint32 *lengths = g_new0 (guint32, (gsize)(n_old + 1) * (n_new + 1));
  for (guint i = n_old; i-- > 0;)
    for (guint j = n_new; j-- > 0;)
      {
        guint32 *cell = &lengths[(gsize)i * (n_new + 1) + j];
        if (are_lines_equal (old_lines, n_prefix + i, new_lines, n_prefix + j))
          *cell = cell[n_new + 2] + 1;
        else
          *cell = MAX (cell[n_new + 1], cell[1]);
      }
  return lengths;
}

static void
add_line (GArray *diff, char sign, const TextLines *lines, guint i, guint old_line, guint new_line)
{
  DiffLine line
      = { sign, lines->lines[i], lines->lacks_newline && i + 1 == lines->n_lines, old_line, new_line };
  g_array_append_val (diff, line);
}

/* Appends the diff of the @n_old and @n_new lines after the common first @n_prefix lines. */
static void
diff_middle (const TextLines *old_lines,
             const TextLines *new_lines,
             guint n_prefix,
             guint n_old,
             guint n_new,
             GArray *diff)
{
  gboolean too_large = (guint64)(n_old + 1) * (n_new + 1) > LCS_TABLE_MAX_CELLS;
  g_autofree guint32 *lengths
      = too_large ? NULL : compute_lcs_lengths (old_lines, new_lines, n_prefix, n_old, n_new);
  guint i = 0;
  guint j = 0;
  while (i < n_old || j < n_new)
    {
      const guint32 *cell = too_large ? NULL : &lengths[(gsize)i * (n_new + 1) + j];
      if (!too_large && i < n_old && j < n_new
          && are_lines_equal (old_lines, n_prefix + i, new_lines, n_prefix + j))
        {
          add_line (diff, ' ', old_lines, n_prefix + i, n_prefix + i, n_prefix + j);
          i++;
          j++;
        }
      else if (i < n_old && (j == n_new || too_large || cell[n_new + 1] >= cell[1]))
        {
          add_line (diff, '-', old_lines, n_prefix + i, n_prefix + i, n_prefix + j);
          i++;
        }
      else
        {
          add_line (diff, '+', new_lines, n_prefix + j, n_prefix + i, n_prefix + j);
          j++;
        }
    }
}

static GArray *
diff_lines (const TextLines *old_lines, const TextLines *new_lines)
{
  GArray *diff = g_array_new (FALSE, FALSE, sizeof (DiffLine));
  guint n_shared_max = MIN (old_lines->n_lines, new_lines->n_lines);
  guint n_prefix = 0;
  while (n_prefix < n_shared_max && are_lines_equal (old_lines, n_prefix, new_lines, n_prefix))
    n_prefix++;
  guint n_suffix = 0;
  while (n_suffix < n_shared_max - n_prefix
         && are_lines_equal (old_lines, old_lines->n_lines - 1 - n_suffix, new_lines,
                             new_lines->n_lines - 1 - n_suffix))
    n_suffix++;
  for (guint i = 0; i < n_prefix; i++)
    add_line (diff, ' ', old_lines, i, i, i);
  diff_middle (old_lines, new_lines, n_prefix, old_lines->n_lines - n_prefix - n_suffix,
               new_lines->n_lines - n_prefix - n_suffix, diff);
  for (guint i = 0; i < n_suffix; i++)
    add_line (diff, ' ', old_lines, old_lines->n_lines - n_suffix + i, old_lines->n_lines - n_suffix + i,
              new_lines->n_lines - n_suffix + i);
  return diff;
}

/* Returns the index of the first changed line at or after @from, or the length of @diff if there is none. */
static guint
find_next_change (GArray *diff, guint from)
{
  while (from < diff->len && g_array_index (diff, DiffLine, from).sign == ' ')
    from++;
  return from;
}

/* Returns the index after the last line of the hunk whose first changed line is @change.  Changes whose
 * context lines meet are in one hunk. */
static guint
find_hunk_end (GArray *diff, guint change)
{
  guint end = change;
  while (change < diff->len && change <= end + 2 * CONTEXT_LINES)
    {
      while (change < diff->len && g_array_index (diff, DiffLine, change).sign != ' ')
        change++;
      end = change;
      change = find_next_change (diff, change);
    }
  return MIN (end + CONTEXT_LINES, diff->len);
}

static void
append_range (GString *text, char sign, guint start, guint count)
{
  g_string_append_printf (text, "%c%u", sign, count > 0 ? start + 1 : start);
  if (count != 1)
    g_string_append_printf (text, ",%u", count);
}

static void
append_hunk (GString *text, GArray *diff, guint begin, guint end)
{
  guint old_count = 0;
  guint new_count = 0;
  for (guint i = begin; i < end; i++)
    {
      char sign = g_array_index (diff, DiffLine, i).sign;
      old_count += sign != '+';
      new_count += sign != '-';
    }
  const DiffLine *first = &g_array_index (diff, DiffLine, begin);
  g_string_append (text, "@@ ");
  append_range (text, '-', first->old_line, old_count);
  g_string_append_c (text, ' ');
  append_range (text, '+', first->new_line, new_count);
  g_string_append (text, " @@\n");
  for (guint i = begin; i < end; i++)
    {
      const DiffLine *line = &g_array_index (diff, DiffLine, i);
      g_string_append_printf (text, "%c%s\n", line->sign, line->text);
      if (line->lacks_newline)
        g_string_append (text, "\\ No newline at end of file\n");
    }
}

char *
quince_line_diff (const char *old_text, const char *new_text, const char *old_name, const char *new_name)
{
  if (strcmp (old_text, new_text) == 0)
    return NULL;
  TextLines old_lines = split_lines (old_text);
  TextLines new_lines = split_lines (new_text);
  g_autoptr (GArray) diff = diff_lines (&old_lines, &new_lines);
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "--- %s\n+++ %s\n", old_name, new_name);
  guint change = find_next_change (diff, 0);
  while (change < diff->len)
    {
      guint begin = change > CONTEXT_LINES ? change - CONTEXT_LINES : 0;
      guint end = find_hunk_end (diff, change);
      append_hunk (text, diff, begin, end);
      change = find_next_change (diff, end);
    }
  g_strfreev (old_lines.lines);
  g_strfreev (new_lines.lines);
  return g_string_free (text, FALSE);
}
