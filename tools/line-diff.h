/*
 * line-diff.h: unified differences of two texts, by the longest common subsequence of lines.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_line_diff:
 *
 * Returns: (transfer full) (nullable): hunks with three lines of context, %NULL when the texts are equal.
 * Very long texts without common lines near their ends are shown as wholly replaced.
 */
char *
quince_line_diff (const char *old_text, const char *new_text, const char *old_name, const char *new_name);

G_END_DECLS
