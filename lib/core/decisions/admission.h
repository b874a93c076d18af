/*
 * admission.h: whether the send guard lets a request, stream or sample be sent to a worker now.
 *
 * Pure functions.  lib/forward/send-guard.c collects their inputs from the quarantine
 * (core/request/quarantine.h) and checks the capacity of the service (core/request/service-capacity.h).
 */
#pragma once

#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* Whether a request may be sent now, and if not, why. */
typedef enum
{
  QUINCE_ADMISSION_GRANTED,   /* it may be sent */
  QUINCE_ADMISSION_UNHEDGED,  /* it may be sent without a permit, but not hedged */
  QUINCE_ADMISSION_PERMIT,    /* it may be sent under a permit, which must be returned, but not hedged */
  QUINCE_ADMISSION_WAIT,      /* not yet: ask again after QUINCE_ADMISSION_RETRY_MS */
  QUINCE_ADMISSION_NO_PERMIT, /* not sent: no leader can grant a permit, or the wait timed out */
  QUINCE_ADMISSION_PROTECTED, /* not sent: the service has too few workers to risk the loss of another one */
  QUINCE_ADMISSION_POSTPONED, /* not yet: owed work whose pause after an end of a worker is not over */
  QUINCE_ADMISSION_HELD,      /* not sent: the quarantine holds the request */
} QuinceAdmission;

/* Pause before a waiting request asks again, ms: about a round trip to the leader in another zone. */
#define QUINCE_ADMISSION_RETRY_MS 5

/* Pause before a request to a protected service asks again, ms.  Longer than QUINCE_ADMISSION_RETRY_MS:
 * workers take seconds to restart, and each attempt counts the workers of the service. */
#define QUINCE_ADMISSION_PROTECTED_RETRY_MS 200

/* Pause before postponed work asks again, ms: the interval at which the leader checks all samples.  An answer
 * to another request of the prompt may end the pause early. */
#define QUINCE_ADMISSION_POSTPONED_RETRY_MS 100

/**
 * QuinceAdmissionInput:
 * @rule: the stricter of the quarantine's rules for the request and for its prompt
 * @loss_check_pending: a worker was lost while it ran the request or its prompt, and the check whether the
 *   worker terminated is not complete
 * @permit_in_use: this process already has a request in flight under the same permit
 * @should_yield: other requests with the same prompt are sent first, since the last worker that terminated
 *   under this prompt ran this request, a moment ago; see quince_quarantine_should_yield()
 * @owed: the request is an item of an accepted batch, or its reward call: it must be run before its batch
 * ends, however many workers terminated under it, since the cause may have been another request
 * @owed_wait_us: time until the pause of owed work is over, us; see quince_quarantine_get_owed_wait_us()
 */
typedef struct
{
  QuinceSendRule rule;
  gboolean loss_check_pending;
  gboolean permit_in_use;
  gboolean should_yield;
  gboolean owed;
  gint64 owed_wait_us;
} QuinceAdmissionInput;

/**
 * quince_admission_for_request:
 *
 * Decides from what this process knows of the request.  Prevents a request that crashes workers from being
 * retried until its service has no workers left; see docs/design/worker-ends.md.
 *
 * Owed work is never held.  Where the quarantine holds the same request or prompt of a caller, owed work is
 * sent by a permit to run alone, after a pause.
 *
 * Returns: QUINCE_ADMISSION_GRANTED, QUINCE_ADMISSION_WAIT or QUINCE_ADMISSION_HELD;
 * QUINCE_ADMISSION_POSTPONED for owed work alone; or QUINCE_ADMISSION_PERMIT for a suspect, which is sent
 * only if the capacity of the service allows it and the leader grants a permit
 */
QuinceAdmission quince_admission_for_request (const QuinceAdmissionInput *request);

/* State of the request to the leader for a permit. */
typedef enum
{
  QUINCE_PERMIT_PENDING,   /* no answer yet, or another request has the permit */
  QUINCE_PERMIT_GRANTED,   /* the leader granted the permit */
  QUINCE_PERMIT_NO_LEADER, /* no leader is known */
} QuincePermitState;

/**
 * quince_admission_for_permit_state:
 * @alone: the request needs a permit to run alone, which excludes other such permits of its service for a
 *   short time; see quince_permits_take()
 *
 * Decides from the leader's answer.  Without a leader, a suspect that needs a permit to run alone is refused,
 * since other processes may send such suspects to the service at the same time.  Any other suspect is sent
 * unhedged.
 *
 * Returns: QUINCE_ADMISSION_PERMIT, QUINCE_ADMISSION_WAIT, QUINCE_ADMISSION_UNHEDGED or
 * QUINCE_ADMISSION_NO_PERMIT
 */
QuinceAdmission quince_admission_for_permit_state (QuincePermitState state, gboolean alone);

/* Returns whether a hedge may start: only if the request is not a suspect and no check of a lost worker is
 * pending.  Reads only @rule and @loss_check_pending.  The capacity of the service must allow the hedge as
 * well: quince_service_capacity_allows_hedge(). */
gboolean quince_admission_allows_hedge (const QuinceAdmissionInput *request);

/**
 * quince_admission_protected_may_wait:
 * @response_started: the caller has received a part of the answer
 *
 * Decides whether a lookup or stream that got QUINCE_ADMISSION_PROTECTED waits for workers of the service to
 * restart.  A stream whose caller has received a part waits and retries every
 * QUINCE_ADMISSION_PROTECTED_RETRY_MS.  Any other request is refused immediately with a Retry-After, since a
 * restart takes longer than a lookup may wait.
 */
gboolean quince_admission_protected_may_wait (gboolean response_started);

/**
 * quince_admission_may_keep_waiting:
 * @waited_us: time since the first of consecutive QUINCE_ADMISSION_WAIT results, us
 * @target_latency_us: latency target of the route, us
 *
 * Decides whether a lookup or stream keeps waiting.  It waits as long as its latency target, but at least
 * 0.2 s; after that the caller treats the result as QUINCE_ADMISSION_NO_PERMIT.  Samples wait without a
 * limit.
 */
gboolean quince_admission_may_keep_waiting (gint64 waited_us, gint64 target_latency_us);

G_END_DECLS
