/*
 * test-attempt.c: a request through its attempts, and the retry budget.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <quince/attempt.h>

#include <stdio.h>

enum
{
  DEADLINE_MS = 1000,
  GRANT_MS = 200,
  ATTEMPTS_MOST = 3,
  EVENTS_MOST = 12,
  RANDOM_RUNS = 3000,
  RANDOM_EVENTS = 60,
};

typedef enum
{
  EVENT_END,
  EVENT_START,
  EVENT_GRANTED, /* argument: age of the grant in ms                      */
  EVENT_REFUSED, /* argument: QuinceRefusal                               */
  EVENT_NODE_LOST,
  EVENT_CLAIMED,     /* argument: QuinceLedgerStatus                          */
  EVENT_DISPATCHING, /* step DISPATCH stands for TRUE, WAIT for FALSE         */
  EVENT_ACCEPTED,
  EVENT_FORWARDED,
  EVENT_FINISHED,
  EVENT_ENGINE_REFUSED,
  EVENT_ENGINE_FAILED, /* argument: whether sent                              */
  EVENT_DEADLINE,
  EVENT_COUNT,
} EventKind;

typedef struct
{
  EventKind kind;
  guint attempt;
  gint64 at_ms;
  guint argument;
  QuinceRequestStep step;
} Event;

static QuinceRequestStep
run_event (QuinceRequest *request, const Event *event)
{
  QuinceGrant grant = { .grant_id = 1, .engine = "e", .engine_address = "a", .expires_ms = GRANT_MS };
  QuinceRefused refused = { .reason = event->argument, .detail = "" };
  gint64 now_us = event->at_ms * 1000;
  char engine[8];

  snprintf (engine, sizeof engine, "e%u", event->attempt);
  grant.engine = engine;
  switch (event->kind)
    {
    case EVENT_START:
      return quince_request_start (request, now_us);
    case EVENT_GRANTED:
      return quince_request_granted (request, now_us, now_us - event->argument * 1000, event->attempt,
                                     &grant);
    case EVENT_REFUSED:
      return quince_request_grant_refused (request, now_us, event->attempt, &refused);
    case EVENT_NODE_LOST:
      return quince_request_node_lost (request, now_us, event->attempt);
    case EVENT_CLAIMED:
      return quince_request_claimed (request, now_us, event->attempt, event->argument);
    case EVENT_DISPATCHING:
      return quince_request_dispatching (request, now_us, event->attempt) ? QUINCE_STEP_DISPATCH
                                                                          : QUINCE_STEP_WAIT;
    case EVENT_ACCEPTED:
      quince_request_accepted (request, event->attempt);
      return QUINCE_STEP_WAIT;
    case EVENT_FORWARDED:
      quince_request_forwarded (request, event->attempt);
      return QUINCE_STEP_WAIT;
    case EVENT_FINISHED:
      return quince_request_finished (request, now_us, event->attempt);
    case EVENT_ENGINE_REFUSED:
      return quince_request_engine_refused (request, now_us, event->attempt);
    case EVENT_ENGINE_FAILED:
      return quince_request_engine_failed (request, now_us, event->attempt, event->argument);
    case EVENT_DEADLINE:
      return quince_request_deadline (request, now_us);
    case EVENT_END:
    case EVENT_COUNT:
      break;
    }
  g_assert_not_reached ();
}

typedef struct
{
  const char *name;
  gboolean at_most_once;
  guint avoid; /* engines avoided in the end                        */
  QuinceAttemptState state;
  QuinceRefusal refusal; /* checked after NOT_RUN                             */
  Event events[EVENTS_MOST];
} Case;

/* clang-format off */
#define START       { EVENT_START, 1, 0, 0, QUINCE_STEP_ASK_GRANT }
#define GRANT(n, t) { EVENT_GRANTED, n, t, 0, QUINCE_STEP_DISPATCH }
#define SEND(n, t)  { EVENT_DISPATCHING, n, t, 0, QUINCE_STEP_DISPATCH }
#define SENT(n, t)  GRANT (n, t), SEND (n, t)
#define CLAIM(n, t) { EVENT_GRANTED, n, t, 0, QUINCE_STEP_CLAIM }
#define CLAIMED(n, t, status, step) { EVENT_CLAIMED, n, t, QUINCE_LEDGER_##status, QUINCE_STEP_##step }
#define REFUSED(n, t, reason, step) { EVENT_REFUSED, n, t, QUINCE_REFUSAL_##reason, QUINCE_STEP_##step }
#define EVENT(kind, n, t, argument, step) { EVENT_##kind, n, t, argument, QUINCE_STEP_##step }

static const Case cases[] = {
  { "whole", FALSE, 0, QUINCE_ATTEMPT_FINISHED, 0,
    { START, SENT (1, 1), EVENT (ACCEPTED, 1, 2, 0, WAIT), EVENT (FORWARDED, 1, 2, 0, WAIT), EVENT (FINISHED, 1, 3, 0, ANSWER_WHOLE),
      EVENT (FINISHED, 1, 3, 0, WAIT), EVENT (DEADLINE, 1, 1000, 0, WAIT) } },
  { "deadline before the start", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_DEADLINE,
    { EVENT (START, 1, 1000, 0, ANSWER_NOT_RUN) } },
  { "overloaded ends at once", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_OVERLOADED,
    { START, REFUSED (1, 1, OVERLOADED, ANSWER_NOT_RUN), GRANT (1, 2) } },
  { "policy ends at once", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_POLICY,
    { START, REFUSED (1, 1, POLICY, ANSWER_NOT_RUN) } },
  { "no engine ends at once", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_NO_ENGINE,
    { START, REFUSED (1, 1, NO_ENGINE, ANSWER_NOT_RUN) } },
  { "other nodes are asked, then not run", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_NOT_READY,
    { START, REFUSED (1, 1, STOPPING, ASK_GRANT), EVENT (NODE_LOST, 2, 1, 0, ASK_GRANT),
      REFUSED (3, 1, NOT_READY, ANSWER_NOT_RUN) } },
  { "a node's refusal after an attempt that may have run", FALSE, 1, QUINCE_ATTEMPT_NOT_SENT, 0,
    { START, SENT (1, 1), EVENT (ENGINE_FAILED, 1, 2, TRUE, ASK_GRANT), REFUSED (2, 3, OVERLOADED, ANSWER_UNKNOWN) } },
  { "dead attempts are ignored", FALSE, 0, QUINCE_ATTEMPT_FINISHED, 0,
    { START, EVENT (NODE_LOST, 1, 1, 0, ASK_GRANT), EVENT (GRANTED, 1, 1, 0, WAIT), REFUSED (1, 1, OVERLOADED, WAIT),
      SENT (2, 2), EVENT (DISPATCHING, 2, 2, 0, WAIT), EVENT (ENGINE_FAILED, 1, 2, TRUE, WAIT), EVENT (FINISHED, 1, 3, 0, WAIT),
      EVENT (ENGINE_REFUSED, 1, 3, 0, WAIT), EVENT (FINISHED, 2, 4, 0, ANSWER_WHOLE) } },
  { "expired grant", FALSE, 0, QUINCE_ATTEMPT_MAYBE_SENT, 0,
    { START, GRANT (1, 1), EVENT (DISPATCHING, 1, 201, 0, WAIT), EVENT (ENGINE_FAILED, 1, 201, FALSE, ASK_GRANT), SENT (2, 202) } },
  { "grant that expired on its way, and one that is older than it seems", FALSE, 0, QUINCE_ATTEMPT_MAYBE_SENT, 0,
    { START, EVENT (GRANTED, 1, 300, 200, ASK_GRANT), EVENT (GRANTED, 2, 301, 199, DISPATCH), EVENT (DISPATCHING, 2, 302, 0, WAIT),
      EVENT (ENGINE_FAILED, 2, 302, FALSE, ASK_GRANT), EVENT (GRANTED, 3, 303, 199, DISPATCH), SEND (3, 303) } },
  { "not connected", FALSE, 3, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_NO_ENGINE,
    { START, SENT (1, 1), EVENT (ENGINE_FAILED, 1, 1, FALSE, ASK_GRANT), SENT (2, 2), EVENT (ENGINE_FAILED, 2, 2, FALSE, ASK_GRANT),
      SENT (3, 3), EVENT (ENGINE_FAILED, 3, 3, FALSE, ANSWER_NOT_RUN) } },
  { "retries run out after one that may have run", FALSE, 3, QUINCE_ATTEMPT_REFUSED, 0,
    { START, SENT (1, 1), EVENT (ENGINE_FAILED, 1, 1, TRUE, ASK_GRANT), SENT (2, 2), EVENT (ENGINE_REFUSED, 2, 2, 0, ASK_GRANT),
      SENT (3, 3), EVENT (ENGINE_REFUSED, 3, 3, 0, ANSWER_UNKNOWN) } },
  { "engines refuse", FALSE, 3, QUINCE_ATTEMPT_REFUSED, QUINCE_REFUSAL_OVERLOADED,
    { START, SENT (1, 1), EVENT (ENGINE_REFUSED, 1, 1, 0, ASK_GRANT), SENT (2, 2), EVENT (ENGINE_REFUSED, 2, 2, 0, ASK_GRANT),
      SENT (3, 3), EVENT (ENGINE_REFUSED, 3, 3, 0, ANSWER_NOT_RUN) } },
  { "a refusal after the answer began proves nothing", TRUE, 1, QUINCE_ATTEMPT_FAILED, 0,
    { START, CLAIM (1, 1), CLAIMED (1, 1, OK, DISPATCH), SEND (1, 1), EVENT (ACCEPTED, 1, 2, 0, WAIT),
      EVENT (ENGINE_REFUSED, 1, 3, 0, ANSWER_UNKNOWN) } },
  { "cut after bytes went out", FALSE, 1, QUINCE_ATTEMPT_FAILED, 0,
    { START, SENT (1, 1), EVENT (FORWARDED, 1, 2, 0, WAIT), EVENT (ENGINE_FAILED, 1, 3, TRUE, ANSWER_BROKEN) } },
  { "deadline after bytes went out", FALSE, 0, QUINCE_ATTEMPT_FAILED, 0,
    { START, SENT (1, 1), EVENT (FORWARDED, 1, 2, 0, WAIT), EVENT (DEADLINE, 1, 1000, 0, ANSWER_BROKEN) } },
  { "deadline in the queue", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_DEADLINE,
    { START, EVENT (DEADLINE, 1, 1000, 0, ANSWER_NOT_RUN) } },
  { "grant after the deadline", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_DEADLINE,
    { START, EVENT (GRANTED, 1, 1000, 0, ANSWER_NOT_RUN) } },
  { "deadline between grant and dispatch", FALSE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_DEADLINE,
    { START, GRANT (1, 999), EVENT (DISPATCHING, 1, 1000, 0, WAIT), EVENT (ENGINE_FAILED, 1, 1000, FALSE, ANSWER_NOT_RUN) } },
  { "deadline after dispatch", FALSE, 0, QUINCE_ATTEMPT_FAILED, 0,
    { START, SENT (1, 1), EVENT (DEADLINE, 1, 1000, 0, ANSWER_UNKNOWN), EVENT (FINISHED, 1, 1001, 0, WAIT) } },
  { "at most once: a failure is not retried", TRUE, 1, QUINCE_ATTEMPT_FAILED, 0,
    { START, CLAIM (1, 1), EVENT (DISPATCHING, 1, 1, 0, WAIT), CLAIMED (1, 2, OK, DISPATCH), SEND (1, 2),
      EVENT (ENGINE_FAILED, 1, 3, TRUE, ANSWER_UNKNOWN) } },
  { "at most once: duplicate", TRUE, 0, QUINCE_ATTEMPT_NOT_SENT, 0,
    { START, CLAIM (1, 1), CLAIMED (1, 2, DUPLICATE, ANSWER_UNKNOWN), CLAIMED (1, 2, OK, WAIT) } },
  { "at most once: claim is repeated until the deadline", TRUE, 0, QUINCE_ATTEMPT_NOT_SENT, QUINCE_REFUSAL_DEADLINE,
    { START, CLAIM (1, 1), CLAIMED (1, 2, UNKNOWN, CLAIM), CLAIMED (1, 3, NOT_LEADER, CLAIM), CLAIMED (1, 4, BUSY, CLAIM),
      CLAIMED (1, 1000, UNKNOWN, ANSWER_NOT_RUN) } },
  { "at most once: claim is kept after the grant expired", TRUE, 0, QUINCE_ATTEMPT_MAYBE_SENT, 0,
    { START, CLAIM (1, 1), CLAIMED (1, 300, OK, ASK_GRANT), SENT (2, 301) } },
  { "at most once: claim is kept after the engine's refusal", TRUE, 1, QUINCE_ATTEMPT_FINISHED, 0,
    { START, CLAIM (1, 1), CLAIMED (1, 2, OK, DISPATCH), SEND (1, 2), EVENT (ENGINE_REFUSED, 1, 3, 0, ASK_GRANT), SENT (2, 4),
      EVENT (FINISHED, 2, 5, 0, ANSWER_WHOLE) } },
};
/* clang-format on */

static QuinceRequest *
new_request (gboolean at_most_once)
{
  const QuinceRequestId id = { 0 };

  return quince_request_new (id, &(QuinceRequestOptions){ .at_most_once = at_most_once,
                                                          .deadline_us = DEADLINE_MS * 1000,
                                                          .attempts_most = ATTEMPTS_MOST });
}

static void
test_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      g_autoptr (QuinceRequest) request = new_request (c->at_most_once);
      QuinceRequestStep step = QUINCE_STEP_WAIT, last = QUINCE_STEP_WAIT;

      for (const Event *event = c->events; event->kind != EVENT_END; event++)
        {
          /* The row after a final answer shows that the request is dead. */
          gboolean ended = last >= QUINCE_STEP_ANSWER_WHOLE;
          step = run_event (request, event);
          if (step != (ended ? QUINCE_STEP_WAIT : event->step))
            fail_msg ("%s: event %d: step %d", c->name, (int)(event - c->events), step);
          if (!ended)
            last = step;
        }
      if (quince_request_get_state (request) != c->state)
        fail_msg ("%s: state %d", c->name, quince_request_get_state (request));
      if (quince_request_get_avoid (request)->len != c->avoid)
        fail_msg ("%s: %u engines avoided", c->name, quince_request_get_avoid (request)->len);
      if (last == QUINCE_STEP_ANSWER_NOT_RUN && quince_request_get_refusal (request) != c->refusal)
        fail_msg ("%s: refusal %d", c->name, quince_request_get_refusal (request));
      assert_true (quince_request_get_retry_after_ms (request) >= 1);
    }
}

static void
test_grant_is_current (void **state)
{
  g_autoptr (QuinceRequest) request = new_request (FALSE);
  const Event events[] = { START, GRANT (1, 1), SEND (1, 1), EVENT (ENGINE_FAILED, 1, 2, TRUE, ASK_GRANT) };

  run_event (request, &events[0]);
  assert_string_equal (quince_request_get_grant (request)->engine, "");
  run_event (request, &events[1]);
  assert_string_equal (quince_request_get_grant (request)->engine, "e1");
  run_event (request, &events[2]);
  run_event (request, &events[3]);
  assert_string_equal (quince_request_get_grant (request)->engine, "");
  assert_int_equal (quince_request_get_attempt (request), 2);
  assert_string_equal (g_ptr_array_index (quince_request_get_avoid (request), 0), "e1");
  assert_int_equal (quince_request_dispatching (request, 0, 2), FALSE);
}

/* A grant that lay in the socket of a paused process is as old as it is, not as
 * old as its arrival: it must not be dispatched after its expiry. */
static void
test_grant_expires_from_when_it_was_given (void **state)
{
  const QuinceRequestId id = { 0 };
  const gint64 given_us = 1000;
  const gint64 woken_us = given_us + GRANT_MS * G_TIME_SPAN_MILLISECOND;
  g_autoptr (QuinceRequest) request
      = quince_request_new (id, &(QuinceRequestOptions){ .deadline_us = G_MAXINT64, .attempts_most = 9 });
  const QuinceGrant grant = { .engine = (char *)"e1", .engine_address = (char *)"a", .expires_ms = GRANT_MS };

  quince_request_start (request, 0);
  assert_int_equal (quince_request_granted (request, woken_us, given_us, 1, &grant), QUINCE_STEP_ASK_GRANT);
  assert_false (quince_request_dispatching (request, woken_us, 1));
  assert_int_equal (quince_request_granted (request, woken_us, woken_us, 2, &grant), QUINCE_STEP_DISPATCH);
  assert_true (quince_request_dispatching (request, woken_us, 2));
}

static void
test_avoid_is_bounded (void **state)
{
  const QuinceRequestId id = { 0 };
  g_autoptr (QuinceRequest) request
      = quince_request_new (id, &(QuinceRequestOptions){ .deadline_us = G_MAXINT64, .attempts_most = 99 });

  quince_request_start (request, 0);
  for (guint n = 1; n <= 20; n++)
    {
      /* Each engine twice in a row; the last eight are kept, once each. */
      g_autofree char *engine = g_strdup_printf ("e%u", (n + 1) / 2);
      QuinceGrant grant = { .engine = engine, .engine_address = "a", .expires_ms = GRANT_MS };
      quince_request_granted (request, 0, 0, n, &grant);
      assert_true (quince_request_dispatching (request, 0, n));
      assert_int_equal (quince_request_engine_failed (request, 0, n, n % 2), QUINCE_STEP_ASK_GRANT);
    }
  assert_int_equal (quince_request_get_avoid (request)->len, 8);
  assert_string_equal (g_ptr_array_index (quince_request_get_avoid (request), 0), "e3");
  assert_string_equal (g_ptr_array_index (quince_request_get_avoid (request), 7), "e10");
}

/* What truly happened, as an observer of the engines would see it. */
typedef struct
{
  guint running; /* attempt that an engine has now, 0 none                    */
  guint ran;     /* attempts that an engine may have run                      */
  guint answers;
  gboolean claimed;
  gboolean began; /* the running attempt has begun to answer                  */
  gboolean forwarded;
} Truth;

/* Follows one event and its step, and checks what must always hold. */
static void
check_truth (Truth *truth, gboolean at_most_once, const Event *event, QuinceRequestStep step)
{
  gboolean is_running = truth->running != 0 && event->attempt == truth->running;

  if (event->kind == EVENT_CLAIMED && event->argument == QUINCE_LEDGER_OK && step != QUINCE_STEP_WAIT)
    truth->claimed = TRUE;
  if (is_running && event->kind == EVENT_FORWARDED)
    truth->forwarded = TRUE;
  if (is_running && (event->kind == EVENT_ACCEPTED || event->kind == EVENT_FORWARDED))
    truth->began = TRUE;
  /* Bytes left unless the engine or the connection says otherwise; what began to answer certainly ran. */
  if (is_running && !truth->began
      && (event->kind == EVENT_ENGINE_REFUSED || (event->kind == EVENT_ENGINE_FAILED && !event->argument)))
    truth->ran--;
  if (is_running
      && (event->kind == EVENT_ENGINE_REFUSED || event->kind == EVENT_ENGINE_FAILED
          || event->kind == EVENT_FINISHED))
    truth->running = 0;
  if (event->kind == EVENT_DISPATCHING && step == QUINCE_STEP_DISPATCH)
    {
      assert_true (truth->claimed || !at_most_once);
      assert_false (truth->forwarded);
      assert_int_equal (truth->answers, 0);
      truth->running = event->attempt;
      truth->began = FALSE;
      truth->ran++;
      assert_true (!at_most_once || truth->ran == 1);
    }
  if (step >= QUINCE_STEP_ANSWER_WHOLE)
    truth->answers++;
  assert_true (truth->answers <= 1);
  if (step == QUINCE_STEP_ANSWER_NOT_RUN)
    assert_int_equal (truth->ran, 0);
  if (step == QUINCE_STEP_ANSWER_BROKEN)
    assert_true (truth->forwarded);
  if (step == QUINCE_STEP_ANSWER_UNKNOWN)
    assert_false (truth->forwarded);
}

static guint
random_argument (GRand *random, EventKind kind)
{
  if (kind == EVENT_GRANTED)
    return g_rand_int_range (random, 0, GRANT_MS + 20);
  if (kind == EVENT_REFUSED)
    return g_rand_int_range (random, QUINCE_REFUSAL_OVERLOADED, QUINCE_REFUSAL_BAD_REQUEST + 1);
  if (kind == EVENT_CLAIMED)
    return g_rand_int_range (random, QUINCE_LEDGER_OK, QUINCE_LEDGER_BUSY + 1);
  return g_rand_int_range (random, 0, 2);
}

static void
test_random_orders (void **state)
{
  guint answers[QUINCE_STEP_ANSWER_BROKEN + 1] = { 0 };

  for (guint seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);
      gboolean at_most_once = seed % 2;
      g_autoptr (QuinceRequest) request = new_request (at_most_once);
      Truth truth = { 0 };
      Event event = { .kind = EVENT_START };
      QuinceRequestStep step;

      for (guint i = 0; i < RANDOM_EVENTS; i++)
        {
          step = run_event (request, &event);
          check_truth (&truth, at_most_once, &event, step);
          answers[step]++;
          event.at_ms += g_rand_int_range (random, 0, 40);
          event.kind = g_rand_int_range (random, EVENT_START, EVENT_DEADLINE);
          event.argument = random_argument (random, event.kind);
          event.attempt = quince_request_get_attempt (request) - (g_rand_int_range (random, 0, 8) == 0);
        }
      event = (Event){ .kind = EVENT_DEADLINE, .at_ms = event.at_ms + DEADLINE_MS };
      step = run_event (request, &event);
      check_truth (&truth, at_most_once, &event, step);
      answers[step]++;
      assert_int_equal (truth.answers, 1);
      assert_true (quince_request_get_attempt (request) <= ATTEMPTS_MOST);
    }
  /* The orders reach every kind of answer. */
  for (guint answer = QUINCE_STEP_ANSWER_WHOLE; answer <= QUINCE_STEP_ANSWER_BROKEN; answer++)
    assert_true (answers[answer] > 0);
}

static guint
take_all (QuinceRetryBudget *budget, gint64 now_us)
{
  guint taken = 0;

  while (taken < 1000 && quince_retry_budget_take (budget, now_us))
    taken++;
  return taken;
}

static void
test_retry_budget (void **state)
{
  static const struct
  {
    double ratio, least;
    guint first;
    gint64 wait_ms;
    guint want, want_later;
  } rows[] = {
    { 0.1, 0.0, 100, 0, 10, 0 },   { 0.1, 0.0, 9, 0, 0, 0 },     { 0.5, 0.0, 1000, 0, 100, 0 },
    { 0.0, 2.0, 100, 1000, 2, 2 }, { 0.0, 2.0, 0, 60000, 2, 2 }, { 0.0, 0.5, 0, 1999, 1, 0 },
    { 0.0, 0.5, 0, 2000, 1, 1 },   { 0.1, 1.0, 20, 1000, 3, 1 }, { 0.0, 0.0, 10, 60000, 0, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (QuinceRetryBudget) budget = quince_retry_budget_new (rows[i].ratio, rows[i].least);
      gint64 now_us = 10 * G_USEC_PER_SEC;

      for (guint n = 0; n < rows[i].first; n++)
        quince_retry_budget_first (budget, now_us);
      assert_int_equal (take_all (budget, now_us), rows[i].want);
      assert_int_equal (take_all (budget, now_us + rows[i].wait_ms * 1000), rows[i].want_later);
    }
  /* A time that goes back takes nothing away. */
  g_autoptr (QuinceRetryBudget) budget = quince_retry_budget_new (0.0, 1.0);
  assert_int_equal (take_all (budget, 10 * G_USEC_PER_SEC), 1);
  assert_int_equal (take_all (budget, 5 * G_USEC_PER_SEC), 0);
  assert_int_equal (take_all (budget, 11 * G_USEC_PER_SEC), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_grant_is_current),
    cmocka_unit_test (test_grant_expires_from_when_it_was_given),
    cmocka_unit_test (test_avoid_is_bounded),
    cmocka_unit_test (test_random_orders),
    cmocka_unit_test (test_retry_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
