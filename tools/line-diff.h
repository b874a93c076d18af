/*
 * line-diff.h: unified diff of two texts, from the longest common subsequence (LCS) of their lines.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_line_diff:
 * @old_name: name of the old text in the diff header
 * @new_name: name of the new text in the diff header
 *
 * If the lines between the common first and last lines are too many to compare, about 4,000 in each text, the
 * diff replaces all of them.
 *
 * Returns: (transfer full) (nullable): the unified diff with three lines of context, or %NULL if the texts
 * are equal
 */
char *
quince_line_diff (const char *old_text, const char *new_text, const char *old_name, const char *new_name);

G_END_DECLS
