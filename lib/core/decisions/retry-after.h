/*
 * retry-after.h: the Retry-After that a refused caller is given.
 *
 * For: fronts and the ledger's leader, whenever they refuse a request of which nothing ran.  Owns nothing;
 * pure. Relies on: the earliest time at which the cause of the refusal may be over, where its owner knows
 * one.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Why a request is refused before any worker or the ledger has run it. */
typedef enum
{
  QUINCE_REFUSED_NO_WORKER,        /* no worker is ready, or all are full, cold or protected   */
  QUINCE_REFUSED_EVACUATED,        /* all workers that serve it are in evacuated zones         */
  QUINCE_REFUSED_POLICY,           /* the policy in force refuses it                           */
  QUINCE_REFUSED_NO_CONFIGURATION, /* this process has read no configuration yet               */
  QUINCE_REFUSED_RESIDENCY,        /* no worker or ledger in the regions that the request allows  */
  QUINCE_REFUSED_LEDGER,           /* no leader is reachable, or the leader cannot serve now   */
} QuinceRefusalCause;

/**
 * QuinceRetryAfterInput:
 * @cause: why the request is refused
 * @known_ms: time until the cause may be over, as its owner computed it, ms; 0: not known
 * @zone_change_ms: time within which every front knows that a zone was taken back, ms; read for
 *   QUINCE_REFUSED_EVACUATED only
 */
typedef struct
{
  QuinceRefusalCause cause;
  guint known_ms;
  guint zone_change_ms;
} QuinceRetryAfterInput;

/**
 * quince_retry_after_ms:
 *
 * Decides how long a refused caller waits before it tries again: the known time, but at least the minimum of
 * the refusal's kind, so that callers don't retry in a tight loop.
 *
 * Edges: a @known_ms of 0 gives the minimum alone; there is no upper bound, since a time known to be later is
 * the truth.
 *
 * Returns: the Retry-After, ms; never 0
 */
guint quince_retry_after_ms (const QuinceRetryAfterInput *refusal);

/**
 * quince_retry_after_until_ms:
 * @available_us: when there may be room, monotonic, us; in the past after a stale estimate
 * @now_us: monotonic, us
 *
 * Returns: the time until @available_us, rounded up to whole ms, so that a caller is not back too early; 0
 * when it has passed
 */
guint quince_retry_after_until_ms (gint64 available_us, gint64 now_us);

G_END_DECLS
