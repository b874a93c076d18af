/*
 * answer-match.c: decides to which request a server's answer belongs; see answer-match.h.
 */
#include "http1/answer-match.h"

static gboolean
is_empty (const char *id)
{
  return id == NULL || *id == '\0';
}

QuinceAnswerMatch
quince_answer_match (const char *request_id, const char *answer_id)
{
  if (is_empty (answer_id))
    return is_empty (request_id) ? QUINCE_ANSWER_OWN : QUINCE_ANSWER_UNNAMED;
  return g_strcmp0 (request_id, answer_id) == 0 ? QUINCE_ANSWER_OWN : QUINCE_ANSWER_OTHER;
}
