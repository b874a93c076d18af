/*
 * completions.h: POST /v1/completions.
 */
#pragma once

#include "worker.h"

QuinceCompletions *quince_completions_new (QuinceWorker *worker);
/* Cancels what is in progress. */
void quince_completions_free (QuinceCompletions *completions);
/* Answers @message, now or later. */
void quince_completions_handle (QuinceCompletions *completions, SoupServerMessage *message);
/* Another request has @id too: the one here releases it when its caller is gone, or holds it. */
void quince_completions_check_id (QuinceCompletions *completions, const QuinceRequestId id);
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
