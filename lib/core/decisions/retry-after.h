/*
 * retry-after.h: the Retry-After of a refused request.
 *
 * Pure functions, used by fronts and the ledger's leader when they refuse a request that has not run.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Why a request is refused before a worker or the ledger has run it. */
typedef enum
{
  QUINCE_REFUSED_NO_WORKER,        /* no worker is ready, or all are full, cold or protected */
  QUINCE_REFUSED_EVACUATED,        /* all workers that serve it are in evacuated zones */
  QUINCE_REFUSED_POLICY,           /* the policy in force refuses it */
  QUINCE_REFUSED_NO_CONFIGURATION, /* this process has not read the configuration yet */
  QUINCE_REFUSED_RESIDENCY,        /* no worker or ledger in the regions that the request allows */
  QUINCE_REFUSED_MEMORY,           /* this process has no memory for it now */
  QUINCE_REFUSED_LEDGER,           /* no leader is reachable, or the leader cannot serve now */
} QuinceRefusalCause;

/**
 * QuinceRetryAfterInput:
 * @cause: why the request is refused
 * @known_ms: estimated time until the request may succeed, from the component that refused it, ms; 0: not
 *   known
 * @zone_change_ms: maximum time until every front knows that a zone is no longer evacuated, ms; only read for
 *   QUINCE_REFUSED_EVACUATED
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
 * Decides how long a refused caller waits before it retries: the known time, but at least a minimum for the
 * cause, which prevents callers from retrying in a tight loop.  There is no maximum.
 *
 * Returns: the Retry-After, ms; greater than 0, unless @zone_change_ms is read and is 0
 */
guint quince_retry_after_ms (const QuinceRetryAfterInput *refusal);

/**
 * quince_retry_after_until_ms:
 * @available_us: when a worker may have capacity, monotonic, us; a stale estimate may be in the past
 * @now_us: monotonic, us
 *
 * Returns: the time until @available_us in ms, rounded up so that a caller does not retry too early; 0 if
 * that time has passed
 */
guint quince_retry_after_until_ms (gint64 available_us, gint64 now_us);

G_END_DECLS
