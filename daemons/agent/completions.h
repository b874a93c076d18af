/*
 * completions.h: POST /v1/completions.
 */
#pragma once

#include "agent.h"

QuinceCompletions *quince_completions_new (QuinceAgent *agent);
/* Cancels what is in progress. */
void quince_completions_free (QuinceCompletions *completions);
/* Answers @message, now or later. */
void quince_completions_handle (QuinceCompletions *completions, SoupServerMessage *message);
/* Requests whose answer is not out yet. */
guint quince_completions_get_running (const QuinceCompletions *completions);

typedef struct
{
  guint64 requests;
  guint64 answered_whole;
  guint64 answered_error;
  guint64 malformed;
  guint64 callers_gone;
  guint64 refused_stopping;
} QuinceCompletionsCounters;

const QuinceCompletionsCounters *quince_completions_get_counters (const QuinceCompletions *completions);
