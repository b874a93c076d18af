/*
 * line-diff.c: unified differences of two texts; see line-diff.h.
 */
#include "line-diff.h"

#include <string.h>

/* Equal lines before and after a change, as diff -u prints. */
#define CONTEXT_LINES 3
/* Cells of the table of common lengths: 64 MiB, programs of 4,000 changed lines; beyond it the texts are
 * shown as wholly replaced. */
#define LCS_TABLE_MAX_CELLS (16 * 1024 * 1024)

typedef struct
{
  char sign;        /* ' ', '-' or '+' */
  const char *text; /* not owned */
  gboolean open;    /* last line of its text, not ended by a newline */
  guint old_line;   /* lines of the old text before this */
  guint new_line;   /* lines of the new text before this */
} DiffLine;

typedef struct
{
  char **lines; /* owned */
  guint length;
  gboolean open; /* no newline at the end */
} Lines;

static Lines
split (const char *text)
{
  Lines result = { .lines = g_strsplit (text, "\n", -1) };
  result.length = g_strv_length (result.lines);
  result.open = result.length > 0 && result.lines[result.length - 1][0] != '\0';
  if (result.length > 0 && !result.open)
    result.length--;
  return result;
}

static gboolean
are_lines_equal (const Lines *a, guint i, const Lines *b, guint j)
{
  gboolean a_open = a->open && i + 1 == a->length;
  gboolean b_open = b->open && j + 1 == b->length;
  return a_open == b_open && strcmp (a->lines[i], b->lines[j]) == 0;
}

/* lengths[i * (m + 1) + j]: longest common subsequence of a[first_a + i..] and b[first_b + j..] */
static guint32 *
compute_lcs_lengths (const Lines *a, const Lines *b, guint first, guint n, guint m)
{
  guint32 *lengths = g_new0 (guint32, (gsize)(n + 1) * (m + 1));
  for (guint i = n; i-- > 0;)
    for (guint j = m; j-- > 0;)
      {
        guint32 *cell = &lengths[(gsize)i * (m + 1) + j];
        if (are_lines_equal (a, first + i, b, first + j))
          *cell = cell[m + 2] + 1;
        else
          *cell = MAX (cell[m + 1], cell[1]);
      }
  return lengths;
}

static void
add_line (GArray *out, char sign, const Lines *lines, guint i, guint old_line, guint new_line)
{
  DiffLine line = { sign, lines->lines[i], lines->open && i + 1 == lines->length, old_line, new_line };
  g_array_append_val (out, line);
}

/* The part between the common beginning and end. */
static void
diff_middle (const Lines *a, const Lines *b, guint first, guint n, guint m, GArray *out)
{
  gboolean too_large = (guint64)(n + 1) * (m + 1) > LCS_TABLE_MAX_CELLS;
  g_autofree guint32 *lengths = too_large ? NULL : compute_lcs_lengths (a, b, first, n, m);
  guint i = 0;
  guint j = 0;
  while (i < n || j < m)
    {
      const guint32 *cell = too_large ? NULL : &lengths[(gsize)i * (m + 1) + j];
      if (!too_large && i < n && j < m && are_lines_equal (a, first + i, b, first + j))
        {
          add_line (out, ' ', a, first + i, first + i, first + j);
          i++;
          j++;
        }
      else if (i < n && (j == m || too_large || cell[m + 1] >= cell[1]))
        {
          add_line (out, '-', a, first + i, first + i, first + j);
          i++;
        }
      else
        {
          add_line (out, '+', b, first + j, first + i, first + j);
          j++;
        }
    }
}

static GArray *
diff_lines (const Lines *a, const Lines *b)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (DiffLine));
  guint shorter = MIN (a->length, b->length);
  guint start = 0;
  while (start < shorter && are_lines_equal (a, start, b, start))
    start++;
  guint end = 0;
  while (end < shorter - start && are_lines_equal (a, a->length - 1 - end, b, b->length - 1 - end))
    end++;
  for (guint i = 0; i < start; i++)
    add_line (out, ' ', a, i, i, i);
  diff_middle (a, b, start, a->length - start - end, b->length - start - end, out);
  for (guint i = 0; i < end; i++)
    add_line (out, ' ', a, a->length - end + i, a->length - end + i, b->length - end + i);
  return out;
}

/* Index of the first changed line at or after @from; the length when there is none. */
static guint
find_next_change (GArray *lines, guint from)
{
  while (from < lines->len && g_array_index (lines, DiffLine, from).sign == ' ')
    from++;
  return from;
}

/* One past the last line of the hunk that begins at the change @change. */
static guint
find_hunk_end (GArray *lines, guint change)
{
  guint end = change;
  while (change < lines->len && change <= end + 2 * CONTEXT_LINES)
    {
      while (change < lines->len && g_array_index (lines, DiffLine, change).sign != ' ')
        change++;
      end = change;
      change = find_next_change (lines, change);
    }
  return MIN (end + CONTEXT_LINES, lines->len);
}

static void
append_range (GString *text, char sign, guint start, guint count)
{
  g_string_append_printf (text, "%c%u", sign, count > 0 ? start + 1 : start);
  if (count != 1)
    g_string_append_printf (text, ",%u", count);
}

static void
append_hunk (GString *text, GArray *lines, guint begin, guint end)
{
  guint old_count = 0;
  guint new_count = 0;
  for (guint i = begin; i < end; i++)
    {
      char sign = g_array_index (lines, DiffLine, i).sign;
      old_count += sign != '+';
      new_count += sign != '-';
    }
  const DiffLine *first = &g_array_index (lines, DiffLine, begin);
  g_string_append (text, "@@ ");
  append_range (text, '-', first->old_line, old_count);
  g_string_append_c (text, ' ');
  append_range (text, '+', first->new_line, new_count);
  g_string_append (text, " @@\n");
  for (guint i = begin; i < end; i++)
    {
      const DiffLine *line = &g_array_index (lines, DiffLine, i);
      g_string_append_printf (text, "%c%s\n", line->sign, line->text);
      if (line->open)
        g_string_append (text, "\\ No newline at end of file\n");
    }
}

char *
quince_line_diff (const char *old_text, const char *new_text, const char *old_name, const char *new_name)
{
  if (strcmp (old_text, new_text) == 0)
    return NULL;
  Lines a = split (old_text);
  Lines b = split (new_text);
  g_autoptr (GArray) lines = diff_lines (&a, &b);
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "--- %s\n+++ %s\n", old_name, new_name);
  guint change = find_next_change (lines, 0);
  while (change < lines->len)
    {
      guint begin = change > CONTEXT_LINES ? change - CONTEXT_LINES : 0;
      guint end = find_hunk_end (lines, change);
      append_hunk (text, lines, begin, end);
      change = find_next_change (lines, end);
    }
  g_strfreev (a.lines);
  g_strfreev (b.lines);
  return g_string_free (text, FALSE);
}
