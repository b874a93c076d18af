/*
 * scheduler-world.h: a scheduler with simulated time, shared by its tests.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include <quince/scheduler.h>

#define SECOND G_USEC_PER_SEC

/* A scheduler with simulated time; owned by the test. */
typedef struct
{
  QuinceScheduler *scheduler;
  GPtrArray *decisions;
  gint64 now_us;
  guint64 next_id;
} World;

static inline void
set_up (World *world, const QuinceSchedulerLimits *limits)
{
  *world = (World){ .now_us = 1000 * SECOND };
  world->scheduler = quince_scheduler_new (limits, 5, "zone-a", 42);
  world->decisions = quince_decisions_new ();
  quince_scheduler_set_ready (world->scheduler, TRUE);
}

static inline void
tear_down (World *world)
{
  quince_scheduler_free (world->scheduler);
  g_ptr_array_unref (world->decisions);
}

static inline QuinceEngineReport
engine (const char *name, guint capacity)
{
  return (QuinceEngineReport){ .name = name,
                               .address = "127.0.0.1:9000",
                               .service = "service",
                               .zone = "zone-a",
                               .capacity = capacity,
                               .weight_version = 7,
                               .target_version = 7,
                               .available = TRUE };
}

static inline void
report (World *world, QuinceEngineReport sent)
{
  quince_scheduler_engine_report (world->scheduler, world->now_us, &sent, world->decisions);
}

static inline QuinceGrantRequest
lookup (World *world, const char *member)
{
  QuinceGrantRequest request = { .attempt = 1,
                                 .service = (char *)"service",
                                 .member = (char *)member,
                                 .kind = (char *)"lookup",
                                 .deadline_ms = 60000,
                                 .expected_tokens = 50 };
  world->next_id++;
  memcpy (request.request_id, &world->next_id, sizeof world->next_id);
  return request;
}

static inline QuinceGrantRequest
rollout (World *world)
{
  QuinceGrantRequest request = lookup (world, "member-a");
  request.kind = (char *)"rollout";
  request.work_class = QUINCE_WORK_ROLLOUT;
  return request;
}

static inline void
ask (World *world, const QuinceGrantRequest *request)
{
  quince_scheduler_request (world->scheduler, world->now_us, 1, request, world->decisions);
}

/* The only decision since the last call, or NULL. */
static inline const QuinceVerdict *
verdict (World *world)
{
  static QuinceVerdict last;
  static char engine_name[64];
  if (world->decisions->len == 0)
    return NULL;
  assert_int_equal (world->decisions->len, 1);
  last = ((QuinceDecision *)world->decisions->pdata[0])->reply.verdict;
  if (last.kind == QUINCE_VERDICT_GRANTED)
    {
      g_strlcpy (engine_name, last.QuinceVerdict_u.grant.engine, sizeof engine_name);
      last.QuinceVerdict_u.grant.engine = engine_name;
    }
  g_ptr_array_set_size (world->decisions, 0);
  return &last;
}

static inline QuinceGrant
expect_grant (World *world)
{
  const QuinceVerdict *got = verdict (world);
  assert_non_null (got);
  assert_int_equal (got->kind, QUINCE_VERDICT_GRANTED);
  return got->QuinceVerdict_u.grant;
}

static inline guint
expect_refusal (World *world, QuinceRefusal reason)
{
  const QuinceVerdict *got = verdict (world);
  assert_non_null (got);
  assert_int_equal (got->kind, QUINCE_VERDICT_REFUSED);
  assert_int_equal (got->QuinceVerdict_u.refused.reason, reason);
  assert_true (got->QuinceVerdict_u.refused.retry_after_ms > 0);
  return got->QuinceVerdict_u.refused.retry_after_ms;
}

static inline void
end (World *world, guint64 grant_id, QuinceOutcome outcome, guint service_ms)
{
  QuinceGrantEnd sent
      = { .grant_id = grant_id, .outcome = outcome, .on_time = TRUE, .tokens = 5, .service_ms = service_ms };
  quince_scheduler_end (world->scheduler, world->now_us, &sent, world->decisions);
}

static inline QuinceSchedulerCounters
counters (const World *world)
{
  QuinceSchedulerCounters out;
  quince_scheduler_get_counters (world->scheduler, &out);
  return out;
}
