/*
 * send-guard.h: admission of requests to workers; prevents a request that crashes workers from being sent
 * repeatedly.
 *
 * Each process has one guard.  When a connection to a worker breaks, the guard checks whether the worker
 * ended.  If so, the requests that ran on it become suspects in the quarantine (quarantine.h), and the guard
 * requests a permit from the leader before it admits one of them.  The rule is in core/decisions/admission.h.
 *
 * dispatch.c and the samples of the leader use the guard.  It owns the quarantine, the permit requests and
 * the checks of workers.  Its owner provides callbacks that send messages to the leader and to other
 * processes.
 */
#pragma once

#include "core/decisions/admission.h"
#include "core/request/quarantine.h"
#include "core/routing/worker-table.h"
#include "core/request/service-capacity.h"
#include "runtime/settings.h"

G_BEGIN_DECLS

typedef struct _QuinceSendGuard QuinceSendGuard;

/**
 * QuinceSendGuardCallbacks:
 * @request_permit: requests a permit from the leader; quince_send_guard_handle_permit_answer() follows,
 * possibly before the callback returns.  Returns %FALSE if there is no leader
 * @return_permit: returns a granted permit to the leader
 * @sending: (nullable): a request is being sent under a permit; @expected is the state of the suspect if the
 *   worker ends
 * @ended: a worker ended while running a request; @suspect is the updated suspect
 * @cleared: a worker answered a suspect, or a request of a suspected prompt; @ends is the number of ends that
 *   were recorded for it
 */
typedef struct
{
  gboolean (*request_permit) (const QuinceRequestDigest *digest,
                              const char *service,
                              gboolean alone,
                              gpointer user_data);
  void (*return_permit) (const QuinceRequestDigest *digest, gpointer user_data);
  void (*sending) (const QuinceSuspect *expected, gpointer user_data);
  void (*ended) (const QuinceSuspect *suspect, gpointer user_data);
  void (*cleared) (const QuinceRequestDigest *digest,
                   QuinceSuspectScope scope,
                   guint ends,
                   gpointer user_data);
} QuinceSendGuardCallbacks;

/* Reads @limits from the section "quarantine" of the settings. */
void quince_quarantine_read_limits (const QuinceSettings *settings, QuinceQuarantineLimits *limits);
QuinceSendGuard *quince_send_guard_new (const QuinceQuarantineLimits *limits,
                                        const QuinceSendGuardCallbacks *callbacks,
                                        gpointer user_data);
void quince_send_guard_free (QuinceSendGuard *guard);
/* Returns (transfer none): the quarantine of the guard */
QuinceQuarantine *quince_send_guard_get_quarantine (QuinceSendGuard *guard);
/* Sets the workers by which the capacity of a service is checked.  @workers: (transfer none) (nullable): must
 * outlive the guard; if %NULL, every service counts as able to lose a worker */
void quince_send_guard_set_workers (QuinceSendGuard *guard, QuinceWorkerTable *workers);

/* The permit of one send.  It must be passed to one of quince_send_guard_handle_answer(),
 * quince_send_guard_handle_connection_loss() and quince_send_guard_return_permit(), which reset it. */
typedef struct
{
  gboolean taken;             /* FALSE: the request is sent without a permit */
  gboolean alone;             /* excludes other such permits of the service, see quince_permits_take() */
  QuinceRequestDigest digest; /* of the request or of its prompt */
} QuinceSendPermit;

/* Returns whether there are no suspects and no pending checks.  Then every request may be sent, and its
 * digests need not be computed. */
gboolean quince_send_guard_is_idle (const QuinceSendGuard *guard);
/* Decides whether the request may be sent to a worker of @service now; requests a permit if it needs one.
 * @owed: it is an item of a batch or its reward call, see QuinceAdmissionInput.  @permit: (out): set if the
 * function returns QUINCE_ADMISSION_PERMIT */
QuinceAdmission quince_send_guard_admit (QuinceSendGuard *guard,
                                         gint64 now_us,
                                         const QuinceRequestIdentity *identity,
                                         gboolean owed,
                                         const char *service,
                                         QuinceSendPermit *permit);
/* Returns whether the request may be hedged at @service: it is not a suspect, no check of a lost worker is
 * pending for it, and the service has enough workers. */
gboolean quince_send_guard_may_hedge (QuinceSendGuard *guard,
                                      gint64 now_us,
                                      const QuinceRequestIdentity *identity,
                                      const char *service);
/* Returns whether @service can lose one more worker besides @at_risk others; see service-capacity.h. */
gboolean quince_send_guard_service_survives_end (QuinceSendGuard *guard,
                                                 gint64 now_us,
                                                 const char *service,
                                                 guint at_risk);
/* Returns the time after which a request that got QUINCE_ADMISSION_PROTECTED may be retried, ms. */
guint quince_send_guard_get_retry_after_ms (const QuinceSendGuard *guard, gint64 now_us, const char *service);
/* Updates the capacity of the suspect's service after another process reported ends of workers that ran
 * @digest. */
void
quince_send_guard_handle_report (QuinceSendGuard *guard, gint64 now_us, const QuinceRequestDigest *digest);
/* Handles the answer to QuinceSendGuardCallbacks.request_permit().  A granted permit that is no longer
 * requested is returned. */
void quince_send_guard_handle_permit_answer (QuinceSendGuard *guard,
                                             const QuinceRequestDigest *digest,
                                             gboolean granted);
/* Drops all permit requests and unused permits, since the leader has changed or is lost. */
void quince_send_guard_drop_permit_requests (QuinceSendGuard *guard);

/* Calls QuinceSendGuardCallbacks.sending() for a send to @worker, if the request has a permit. */
void quince_send_guard_report_send (QuinceSendGuard *guard,
                                    gint64 now_us,
                                    const QuinceRequestIdentity *identity,
                                    const QuinceSendPermit *permit,
                                    const QuinceWorker *worker);

/* The worker answered: the request and its prompt are cleared, and the permit is returned. */
void quince_send_guard_handle_answer (QuinceSendGuard *guard,
                                      const QuinceRequestIdentity *identity,
                                      QuinceSendPermit *permit);
/* The connection to @worker broke: checks whether the worker ended.  The request is not admitted, and the
 * permit is not returned, until the check is complete.  If @worker has started again since the send, its end
 * is recorded without a check.  If the worker is draining or not listed, only returns the permit.
 * @ref: the worker to which the request was sent
 * @worker: (nullable): the worker that is listed under the same id; %NULL if there is none or it need not be
 * checked */
void quince_send_guard_handle_connection_loss (QuinceSendGuard *guard,
                                               const QuinceRequestIdentity *identity,
                                               QuinceSendPermit *permit,
                                               const QuinceWorkerRef *ref,
                                               const QuinceWorker *worker);
/* Checks the worker of a send that a failed leader made, see expected-ends.h.  The request is not admitted
 * until the check is complete.  If the worker ended or is no longer listed, @expected is merged into the
 * quarantine and reported by QuinceSendGuardCallbacks.ended(). */
void quince_send_guard_check_send (QuinceSendGuard *guard, const QuinceSuspect *expected);
/* The send ended in another way, or was not made: only returns the permit. */
void quince_send_guard_return_permit (QuinceSendGuard *guard, QuinceSendPermit *permit);

/* Logs that a suspect is sent to a worker.  Does nothing if the request is not a suspect. */
void quince_send_guard_log_sent (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestIdentity *identity,
                                 const QuinceSendPermit *permit,
                                 const char *request_id,
                                 const char *worker_id);
/* Logs that the request @request_id is not sent, because it or its prompt is held. */
void quince_send_guard_log_held (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestIdentity *identity,
                                 const char *request_id);
/* Logs that the owed request @request_id waits, because its suspect or that of its prompt is held. */
void quince_send_guard_log_postponed (const QuinceSendGuard *guard,
                                      gint64 now_us,
                                      const QuinceRequestIdentity *identity,
                                      const char *request_id);
/* Logs and counts that the request waits or is refused, because @service has too few workers to lose another
 * one. */
void quince_send_guard_log_protected (const QuinceSendGuard *guard,
                                      gint64 now_us,
                                      const QuinceRequestIdentity *identity,
                                      const char *request_id,
                                      const char *service);
/* Updates the metrics of the quarantine. */
void quince_send_guard_set_metrics (const QuinceSendGuard *guard);

G_END_DECLS
