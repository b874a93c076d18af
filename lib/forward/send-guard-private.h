/*
 * send-guard-private.h: state shared by the files of the send guard.
 *
 * send-guard.c: admission of requests and permits.
 * send-guard-losses.c: broken connections, and the checks whether their workers ended.
 * send-guard-capacity.c: whether a service can lose one more worker.
 * send-guard-returns.c: whether workers that ended run again.
 * send-guard-log.c: log lines and metrics.
 */
#pragma once

#include "forward/send-guard.h"

struct _QuinceSendGuard
{
  /* All fields belong to the context that created it. */
  QuinceQuarantine *quarantine;
  gint64 next_expire_us;       /* time of the next removal of expired suspects, monotonic */
  GHashTable *permit_requests; /* digest to PermitRequest, which contains the digest; owned */
  GHashTable
      *permits_in_use; /* QuinceRequestDigest, owned; permits of sends in flight or of pending checks */
  QuinceWorkerTable *workers; /* NULL: the capacity of services is not checked */
  QuinceServiceCapacities *capacities;
  GHashTable *losses;        /* QuinceIncarnation to WorkerLoss, see send-guard-losses.c; owned */
  guint pending_checks;      /* losses whose check is not complete */
  GHashTable *return_checks; /* QuinceIncarnation to ReturnCheck, see send-guard-returns.c; owned */
  const QuinceSendGuardCallbacks *callbacks;
  gpointer user_data;
};

/* ---- send-guard-capacity.c ---------------------------------------------- */

/* Updates the worker counts of @service. */
void quince_send_guard_count_workers (QuinceSendGuard *guard, gint64 now_us, const char *service);
/* Returns whether a request that is not a suspect may be hedged at @service. */
gboolean quince_send_guard_service_allows_hedge (QuinceSendGuard *guard, gint64 now_us, const char *service);

/* ---- send-guard-losses.c ------------------------------------------------ */

/* Returns (transfer full): an empty table of losses */
GHashTable *quince_send_guard_losses_new (void);
/* Returns whether a worker that ran the request, or its prompt, is being checked. */
gboolean quince_send_guard_is_loss_check_pending (const QuinceSendGuard *guard,
                                                  const QuinceRequestIdentity *identity);
/* Fills in @observed for an end of @worker, to which the request was sent at @sent_us.  @scope: whether the
 * suspect is the request or its prompt */
void quince_send_guard_describe_end (const QuinceSendGuard *guard,
                                     const QuinceRequestIdentity *identity,
                                     const QuinceSendPermit *permit,
                                     QuinceSuspectScope scope,
                                     QuinceIncarnation worker,
                                     gint64 sent_us,
                                     QuinceSuspect *observed);

/* ---- send-guard-returns.c ----------------------------------------------- */

/* Returns (transfer full): an empty table of checks */
GHashTable *quince_send_guard_return_checks_new (void);
/* Checks whether the listed workers of @service that are recorded as ended run again, each once a second at
 * most.  A worker that does counts as ready from then on. */
void quince_send_guard_check_returns (QuinceSendGuard *guard, gint64 now_us, const char *service);
