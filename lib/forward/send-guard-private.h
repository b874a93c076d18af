/*
 * send-guard-private.h: state shared by the files of the send guard.
 *
 * send-guard.c: whether a request may be sent.
 * send-guard-losses.c: how sends end, and which broken connections were ends of workers.
 * send-guard-capacity.c: whether the service of a request survives one more end.
 * send-guard-log.c: log lines and metrics.
 */
#pragma once

#include "forward/send-guard.h"

struct _QuinceSendGuard
{
  /* All fields belong to the context that created it. */
  QuinceQuarantine *quarantine;
  gint64 next_expire_us;       /* time of the next check for outdated suspects, monotonic */
  GHashTable *permit_requests; /* PermitRequest by its own digest, owned */
  GHashTable *permits_in_use;  /* QuinceRequestDigest, owned: of permits in use here */
  QuinceWorkerTable *workers;  /* NULL: nothing is known of them */
  QuinceServiceCapacities *capacities;
  GHashTable *losses;   /* of send-guard-losses.c, owned */
  guint pending_checks; /* losses that are not decided */
  const QuinceSendGuardCallbacks *callbacks;
  gpointer user_data;
};

/* ---- send-guard-capacity.c ---------------------------------------------- */

/* Counts the workers of @service. */
void quince_send_guard_count_workers (QuinceSendGuard *guard, gint64 now_us, const char *service);
/* Whether a request of which nothing is known may run twice at once at @service. */
gboolean quince_send_guard_service_allows_hedge (QuinceSendGuard *guard, gint64 now_us, const char *service);

/* ---- send-guard-losses.c ------------------------------------------------ */

/* (transfer full): no losses yet */
GHashTable *quince_send_guard_losses_new (void);
/* A loss of the request, or of its prompt, is not decided yet: it may turn out to be an end. */
gboolean quince_send_guard_is_loss_check_pending (const QuinceSendGuard *guard,
                                                  const QuinceRequestIdentity *identity);
/* One end of @worker_id under a request, or under its prompt. */
void quince_send_guard_describe_end (const QuinceRequestIdentity *identity,
                                     const QuinceSendPermit *permit,
                                     const char *worker_id,
                                     QuinceSuspectScope scope,
                                     QuinceSuspect *observed);
