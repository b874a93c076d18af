/*
 * policy-program.h: reads and checks policy program files of the operator.  Relies on lib/policy; keeps no
 * state.
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

/* Reads @path; %NULL with the reason printed when it cannot be read or is too large. (transfer full) */
char *quince_policy_program_read (const char *path);
/* Compiles @text and runs it on example cases; on %FALSE the reason is printed. */
gboolean quince_policy_program_check (const char *path, const char *text);

G_END_DECLS
