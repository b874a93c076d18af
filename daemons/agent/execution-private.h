/*
 * execution-private.h: what the parts of an execution share.
 *
 * execution.c: life, legs and ends; execution-grant.c: grants and the claim;
 * execution-engine.c: the attempt on the engine.
 */
#pragma once

#include <quince/request-id.h>

#include "execution.h"

struct _QuinceExecution
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  QuinceExecutionOptions options; /* texts owned                            */
  const QuinceExecutionCallbacks *callbacks;
  gpointer user_data;
  char id_text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  guint64 prefix[QUINCE_MAX_PREFIX];
  guint n_prefix;
  guint64 node_key; /* for the rendezvous of nodes            */
  guint prompt_tokens;

  QuinceRequest *request; /* of the current leg, see start_leg()    */
  guint attempt_base;     /* attempts of the legs before            */
  guint swaps;            /* legs that ended by a weight swap       */
  gboolean ran;           /* an earlier leg ran                     */
  gboolean forwarded;     /* tokens went out to the caller          */
  gboolean retrying;      /* next grant is for a retry after dispatch */
  gboolean ended;
  QuinceAnswer *answer;
  GPtrArray *tried; /* nodes not to be asked again            */
  GSource *deadline_timer;

  gboolean asked;   /* for a grant, at least once             */
  guint64 ask_call; /* request for a grant, 0 when none is out */
  char *node;       /* that granted, %NULL: no grant is held  */
  guint64 grant_id; /* of the grant that is held              */
  gint64 dispatched_us;
  guint tokens_before;           /* tokens of the answer at the dispatch   */
  QuinceEngineCall *engine_call; /* in progress, %NULL when none           */

  guint64 claim_holder; /* 0 until a claim was sent               */
  guint64 claim_call;   /* in progress, 0 when none               */
  GSource *claim_timer; /* until the grant expires meanwhile      */
  gboolean duplicate;
  gboolean out_of_budget;
  gboolean no_node;
  gboolean deadline_passed;
  QuinceFinishReason finish_reason;
};

/* Attempt number on the wire: unique over all legs. */
guint quince_execution_wire_attempt (const QuinceExecution *execution);
/* Does what the state machine asks for; may end and free the execution. */
void quince_execution_advance (QuinceExecution *execution, QuinceRequestStep step);
/* Begins a new state machine: at the start, and for the rest after a weight swap. */
void quince_execution_start_leg (QuinceExecution *execution);
/* No further attempt, for a reason that the state machine does not know of. */
void quince_execution_give_up (QuinceExecution *execution);
/* Tells the node how its grant ended; does nothing when none is held. */
void quince_execution_end_grant (QuinceExecution *execution, QuinceOutcome outcome);
void quince_execution_drop_engine_call (QuinceExecution *execution);

void quince_execution_ask_grant (QuinceExecution *execution);
void quince_execution_claim (QuinceExecution *execution);
/* The id was not used: its caller may use it for another try. */
void quince_execution_unclaim (QuinceExecution *execution);
void quince_execution_dispatch (QuinceExecution *execution);
