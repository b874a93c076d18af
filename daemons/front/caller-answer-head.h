/*
 * caller-answer-head.h: formats the heads of answers to callers.
 */
#pragma once

#include "caller-request.h"

/* Returns: (transfer full): the status line and the headers of @answer, without those that tell the length of
 * the body and without the empty line at the end */
GString *quince_caller_answer_format_head (const QuinceCallerAnswer *answer, gboolean keep_open);
