/*
 * answer-match.h: decides to which request a server's answer belongs.
 *
 * A server that names the request in each answer may send an answer twice, or so late that it arrives where
 * the answer to the next request on the connection is due.  The pool (http-exchange.c) asks here before
 * anything else of an answer is read, so that its users only see answers to their own requests.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_ANSWER_OWN,     /* it belongs to the request that waits on this connection */
  QUINCE_ANSWER_OTHER,   /* it names another request; the own answer may still follow */
  QUINCE_ANSWER_UNNAMED, /* it names no request, but answers to this one must name it */
} QuinceAnswerMatch;

/* @request_id: (nullable): id of the request that waits; %NULL or "": it has none
 * @answer_id: (nullable): id of a request that the answer names; %NULL or "": it names none */
QuinceAnswerMatch quince_answer_match (const char *request_id, const char *answer_id);

G_END_DECLS
