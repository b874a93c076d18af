/*
 * load.h: callers of a rehearsal: they send Lookups at given times through the
 * agents, check every answer byte and keep what they were told.
 *
 * The engine stand-in answers token i of a prompt with the word "H-i ", H being
 * the first eight hex digits of the prompt's XXH3-64, so a caller can tell
 * whether an answer is whole and its own.
 */
#pragma once

#include <glib.h>

#include <quince/request-id.h>

G_BEGIN_DECLS

/* What a caller was finally told. */
typedef enum
{
  QUINCE_ANSWER_NONE,    /* no final answer within the bound              */
  QUINCE_ANSWER_WHOLE,   /* 200, whole and its own                        */
  QUINCE_ANSWER_WRONG,   /* 200, but not whole or not its own             */
  QUINCE_ANSWER_NOT_RUN, /* error with not_run true                       */
  QUINCE_ANSWER_UNKNOWN, /* error without not_run true                    */
  QUINCE_ANSWER_CUT,     /* connection failed, or a stream without its end */
  QUINCE_N_ANSWERS,
} QuinceAnswerKind;

typedef struct
{
  /* What is asked. */
  char id[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  char *member;
  char *kind;
  char *service;
  char *prompt;
  guint tokens;
  gboolean repeatable;
  gboolean stream;
  guint64 deadline_ms;
  gint64 start_us; /* monotonic time at which it is sent              */
  char *agent;     /* ip:port                                         */
  guint retries;   /* so often another agent may be asked when nothing ran */
  /* What came of it. */
  QuinceAnswerKind answer;
  guint status;
  char *error_type; /* "" when none                                    */
  guint64 retry_after_ms;
  gint64 latency_us; /* from start_us                                   */
  gboolean on_time;  /* whole, within its deadline                      */
  guint stopping;    /* agents that said "stopping", as the contract says */
  guint unreachable; /* agents that refused the connection              */
} QuinceCall;

typedef struct _QuinceLoad QuinceLoad;

QuinceLoad *quince_load_new (guint64 seed);
void quince_load_free (QuinceLoad *load);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLoad, quince_load_free)

typedef struct
{
  const char *member;
  const char *kind;
  const char *service;
  guint requests;
  guint prompt_bytes;
  guint shared_prefix_bytes;
  guint tokens; /* mean; lengths vary by a half either way         */
  gboolean repeatable;
  gboolean stream;
  guint64 deadline_ms;
  gint64 start_us;
  gint64 spread_us; /* requests start evenly over this long; 0: at once */
} QuinceLoadShape;

/* Adds calls that go to @agents in turn; times are monotonic. */
void quince_load_add (QuinceLoad *load, const QuinceLoadShape *shape, const char *const *agents);
/* A call that was told "not run", or whose connection was refused, asks the next of @agents, at
 * most @retries times; it counts as one call, with its last answer. */
void quince_load_set_retries (QuinceLoad *load, const char *const *agents, guint retries);
/* Sends all that was added and waits for the last answer, at most @bound_ms after
 * the last start.  Runs on the thread-default context. */
void quince_load_run (QuinceLoad *load, guint bound_ms);
/* Array of QuinceCall (transfer none). */
GPtrArray *quince_load_get_calls (QuinceLoad *load);

/* Answers of one kind so far; from any thread, also while the load runs. */
guint quince_load_count_answers (QuinceLoad *load, QuinceAnswerKind kind);

/* The answer that the engine stand-in gives. (transfer full) */
char *quince_expected_text (const char *prompt, guint tokens);

G_END_DECLS
