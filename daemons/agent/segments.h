/*
 * segments.h: an answer as it grows: its text, and which engine made which
 * tokens under which weight version.
 */
#pragma once

#include <quince/engine-client.h>

/* One run of tokens of the same engine and weight version. */
typedef struct
{
  char *engine;
  guint64 weight_version;
  guint first_token;
  guint token_count;
} QuinceTokenRun;

/* All fields are read-only outside segments.c. */
typedef struct
{
  GString *text;
  guint token_count;
  GArray *runs; /* QuinceTokenRun, in order, contiguous from token 0 */
} QuinceAnswer;

QuinceAnswer *quince_answer_new (void);
void quince_answer_free (QuinceAnswer *answer);
/* Forgets everything, for a restart from the first token. */
void quince_answer_clear (QuinceAnswer *answer);
/* Returns: %FALSE when the answer would be above the bounds of the protocol. */
gboolean quince_answer_append (QuinceAnswer *answer, const char *engine, const QuinceEngineChunk *chunk);
/* Version of the last token, 0 for none. */
guint64 quince_answer_get_last_version (const QuinceAnswer *answer);
/* Whether a token was made under a version below @least. */
gboolean quince_answer_is_below (const QuinceAnswer *answer, guint64 least);
