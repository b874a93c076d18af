/*
 * completion-reply.h: bodies of answers to callers, in the OpenAI form.
 */
#pragma once

#include "execution.h"

/* What stays the same in every body of one answer; texts are borrowed. */
typedef struct
{
  const char *id;
  const char *model;
  guint prompt_tokens;
} QuinceReplyHead;

/* Whole answer. (transfer full) */
char *quince_completion_reply_whole (const QuinceReplyHead *head, const QuinceExecutionResult *result);
/* Server-sent event of some tokens, of the end, and of a stream that broke. (transfer full) */
char *quince_completion_reply_tokens (const QuinceReplyHead *head, const char *text);
char *quince_completion_reply_end (const QuinceReplyHead *head, const QuinceExecutionResult *result);
char *quince_completion_reply_broken (const QuinceExecutionResult *result);

/* Answers an execution that has no whole answer and of which nothing went out. */
void quince_completion_reply_error (SoupServerMessage *message, const QuinceExecutionResult *result);
