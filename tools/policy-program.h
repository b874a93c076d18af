/*
 * policy-program.h: reads and checks policy program files.
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

/* Returns: (transfer full) (nullable): the content of the file, or %NULL if it cannot be read, is larger than
 * QUINCE_POLICY_MAX_BYTES, is not UTF-8 or contains a NUL byte; the error is printed */
char *quince_policy_program_read (const char *path);
/* Compiles @text and runs it on example cases.  Prints the error and returns %FALSE if either fails.
 * @path: file name for the error message */
gboolean quince_policy_program_check (const char *path, const char *text);

G_END_DECLS
