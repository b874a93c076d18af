/*
 * send-guard.h: admits requests to workers, by the workers that ended under them.
 *
 * The guard of a process finds out which broken connections were ends of workers, keeps what is known of
 * suspects (quarantine.h), and asks for permits where one is needed.
 *
 * For: dispatch.c, the leader's samples.  Owns: the quarantine, permits that were asked for, checks of
 * workers.  Relies on: its owner for the way to the leader and to other processes; core/decisions/admission.h
 * for the rule.
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
 * @ask: a permit is wanted; quince_send_guard_handle_permit_answer() follows, perhaps before this returns.
 * Returns: %FALSE when there is no leader to ask
 * @give_back: a permit is needed no more
 * @sending: (nullable): this is sent by permit; what will be known if its worker ends
 * @ended: a worker ended under this request; what is known now
 * @cleared: a worker answered this request, or one of this prompt, of which @ends were known
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

/* From the settings of a process, section "quarantine". */
void quince_quarantine_read_limits (const QuinceSettings *settings, QuinceQuarantineLimits *limits);
QuinceSendGuard *quince_send_guard_new (const QuinceQuarantineLimits *limits,
                                        const QuinceSendGuardCallbacks *callbacks,
                                        gpointer user_data);
void quince_send_guard_free (QuinceSendGuard *guard);
/* (transfer none) */
QuinceQuarantine *quince_send_guard_get_quarantine (QuinceSendGuard *guard);
/* (transfer none) (nullable): @workers must outlive the guard; without them every service survives every end.
 */
void quince_send_guard_set_workers (QuinceSendGuard *guard, QuinceWorkerTable *workers);

/* What a send is made under; it must be ended by one of the calls below. */
typedef struct
{
  gboolean taken; /* %FALSE: it needs none */
  gboolean alone;
  QuinceRequestDigest digest; /* of the request or of its prompt */
} QuinceSendPermit;

/* Nothing is suspected, and every request may be sent: no digest needs to be made. */
gboolean quince_send_guard_is_idle (const QuinceSendGuard *guard);
/* @permit: taken where this returns QUINCE_ADMISSION_PERMIT */
QuinceAdmission quince_send_guard_admit (QuinceSendGuard *guard,
                                         gint64 now_us,
                                         const QuinceRequestIdentity *identity,
                                         const char *service,
                                         QuinceSendPermit *permit);
/* Whether a second run may begin at @service beside one in progress: nothing is suspected of the request, no
 * loss of it is being checked, and the service has workers enough. */
gboolean quince_send_guard_may_hedge (QuinceSendGuard *guard,
                                      gint64 now_us,
                                      const QuinceRequestIdentity *identity,
                                      const char *service);
/* Whether @service survives the end of one more of its workers, beside @at_risk others. */
gboolean quince_send_guard_service_survives_end (QuinceSendGuard *guard,
                                                 gint64 now_us,
                                                 const char *service,
                                                 guint at_risk);
/* When a request that was not sent since its service is protected may come back, ms. */
guint quince_send_guard_get_retry_after_ms (const QuinceSendGuard *guard, gint64 now_us, const char *service);
/* Other processes reported ends under the suspect @digest. */
void
quince_send_guard_handle_report (QuinceSendGuard *guard, gint64 now_us, const QuinceRequestDigest *digest);
/* The answer to QuinceSendGuardCallbacks.ask(). */
void quince_send_guard_handle_permit_answer (QuinceSendGuard *guard,
                                             const QuinceRequestDigest *digest,
                                             gboolean granted);
/* The leader is gone, and with it the permits that were asked for. */
void quince_send_guard_drop_permit_requests (QuinceSendGuard *guard);

/* It is sent to @worker_id now. */
void quince_send_guard_report_send (QuinceSendGuard *guard,
                                    gint64 now_us,
                                    const QuinceRequestIdentity *identity,
                                    const QuinceSendPermit *permit,
                                    const char *worker_id);

/* How a send ended; @permit: what it was made under, over now. */

/* The worker answered. */
void quince_send_guard_handle_answer (QuinceSendGuard *guard,
                                      const QuinceRequestIdentity *identity,
                                      QuinceSendPermit *permit);
/* The connection to @worker broke: (nullable) %NULL where it is not listed any more.  Until it is known
 * whether the worker ended, the request waits. */
void quince_send_guard_handle_connection_loss (QuinceSendGuard *guard,
                                               const QuinceRequestIdentity *identity,
                                               QuinceSendPermit *permit,
                                               const QuinceWorker *worker);
/* A leader that is lost made the send @expected, and cannot report whether its worker ended.  Until that is
 * known the request waits; an end is counted, and reported by QuinceSendGuardCallbacks.ended(). */
void quince_send_guard_check_send (QuinceSendGuard *guard, const QuinceSuspect *expected);
/* Neither; nothing was learned. */
void quince_send_guard_return_permit (QuinceSendGuard *guard, QuinceSendPermit *permit);

/* Logs what is known of @identity, as it is sent to a worker; nothing where it is not suspected. */
void quince_send_guard_log_sent (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestIdentity *identity,
                                 const QuinceSendPermit *permit,
                                 const char *request_id,
                                 const char *worker_id);
/* Logs why the request @request_id is not sent: it, or its prompt, is held. */
void quince_send_guard_log_held (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestIdentity *identity,
                                 const char *request_id);
/* Logs that it waits, or is refused, because @service would not survive one more end. */
void quince_send_guard_log_protected (const QuinceSendGuard *guard,
                                      gint64 now_us,
                                      const QuinceRequestIdentity *identity,
                                      const char *request_id,
                                      const char *service);
void quince_send_guard_set_metrics (const QuinceSendGuard *guard);

G_END_DECLS
