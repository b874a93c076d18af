/*
 * admission.h: whether the send guard lets a request, stream or sample be sent to a worker now.
 *
 * For: lib/forward/send-guard.c, which collects the inputs.  Owns nothing; pure.  Relies on: the quarantine
 * (core/request/quarantine.h) and the capacity of the service (core/request/service-capacity.h).
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* Whether a request may be sent now. */
typedef enum
{
  QUINCE_ADMISSION_GRANTED,   /* yes                                                                  */
  QUINCE_ADMISSION_UNHEDGED,  /* yes, to one worker at a time                                         */
  QUINCE_ADMISSION_PERMIT,    /* the same, under a permit that must be given back                     */
  QUINCE_ADMISSION_WAIT,      /* not yet: ask again after QUINCE_ADMISSION_RETRY_MS                   */
  QUINCE_ADMISSION_NO_PERMIT, /* no: no leader to give a permit, or the wait for admission is over    */
  QUINCE_ADMISSION_PROTECTED, /* no: the loss of one more worker would leave too few of the service   */
  QUINCE_ADMISSION_HELD,      /* no: it is held                                                       */
} QuinceAdmission;

/* Pause before a waiting request asks again, ms.  Not measured: about a round trip to the leader (up to 6 ms
 * between the users' zones). */
#define QUINCE_ADMISSION_RETRY_MS 5

/* Pause of a protected request that waits before it asks again, ms.  Not measured: workers come back after
 * seconds, and each time the service's workers are counted. */
#define QUINCE_ADMISSION_PROTECTED_RETRY_MS 200

/**
 * QuinceAdmissionInput:
 * @rule: the stricter one of what the quarantine knows of the request and of its prompt
 * @loss_check_pending: it is not decided yet whether a worker ended under the request or its prompt
 * @permit_in_use: this process sends another request under the same permit
 * @should_yield: it met the last end of its prompt a moment ago, so that other requests of the prompt go
 * first; see quince_quarantine_gives_way()
 */
typedef struct
{
  QuinceSendRule rule;
  gboolean loss_check_pending;
  gboolean permit_in_use;
  gboolean should_yield;
} QuinceAdmissionInput;

/**
 * quince_admission_for_request:
 *
 * Decides by what is known of the request.  Reason: a request that makes workers crash must not be repeated
 * until a service has none left; see docs/design/worker-ends.md.
 *
 * Returns: QUINCE_ADMISSION_GRANTED, WAIT or HELD; QUINCE_ADMISSION_PERMIT: it is a suspect, and its service
 * and the leader have a say as well
 */
QuinceAdmission quince_admission_for_request (const QuinceAdmissionInput *request);

/* How far the request for a permit has come. */
typedef enum
{
  QUINCE_PERMIT_PENDING,   /* nothing yet, or another request has the permit */
  QUINCE_PERMIT_GRANTED,   /* the permit is given                            */
  QUINCE_PERMIT_NO_LEADER, /* there is no leader to ask                      */
} QuincePermitState;

/**
 * quince_admission_for_permit_state:
 * @alone: the request may run beside no other suspect of its service
 *
 * Decides by the leader's answer.
 *
 * Edges: without a leader a request under which one worker ended is sent with care, as far as this process
 * knows; one that must be alone is not sent, since other processes may send suspects at the same moment.
 */
QuinceAdmission quince_admission_for_permit_state (QuincePermitState state, gboolean alone);

/* Whether a hedge may begin, by what is known of the request: only where nothing is.  The capacity of the
 * service must allow it as well: quince_service_capacity_allows_hedge().  @rule and @loss_check_pending are
 * read.
 */
gboolean quince_admission_allows_hedge (const QuinceAdmissionInput *request);

/**
 * quince_admission_protected_may_wait:
 * @response_started: its caller has a part of the answer
 *
 * Decides whether a protected lookup or stream waits for its service to be whole again,
 * QUINCE_ADMISSION_PROTECTED_RETRY_MS at a time.  A stream that its caller reads already goes on later; any
 * other request is refused at once with a Retry-After, since workers are back after seconds, longer than a
 * lookup may wait.
 */
gboolean quince_admission_protected_may_wait (gboolean response_started);

/**
 * quince_admission_may_keep_waiting:
 * @waited_us: since the first QUINCE_ADMISSION_WAIT in a row, us
 * @target_latency_us: of the request's route, us
 *
 * Decides whether a lookup or stream goes on waiting: for as long as its latency target, at least 0.2 s.
 * After that it counts as QUINCE_ADMISSION_NO_PERMIT.  Samples wait without a bound.
 */
gboolean quince_admission_may_keep_waiting (gint64 waited_us, gint64 target_latency_us);

G_END_DECLS
