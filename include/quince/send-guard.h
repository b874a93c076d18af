/*
 * send-guard.h: whether a request may be sent to a worker, by the workers that ended under it.
 *
 * The guard of a process finds out which broken connections were ends of workers, keeps what is known of
 * requests under which workers ended (quarantine.h), and asks for permits where one is needed.  Who gives
 * permits, and how others are told, is its owner's.
 */
#pragma once

#include <quince/quarantine.h>
#include <quince/routing.h>
#include <quince/settings.h>

G_BEGIN_DECLS

typedef struct _QuinceSendGuard QuinceSendGuard;

/**
 * QuinceSendGuardCallbacks:
 * @ask: a permit is wanted; quince_send_guard_answer() follows, perhaps before this returns.  Returns: %FALSE
 *   when there is nobody to ask
 * @give_back: a permit is needed no more
 * @ended: a worker ended under this request; what is known now
 * @cleared: a worker answered this request, which was suspected
 */
typedef struct
{
  gboolean (*ask) (const QuinceRequestDigest *digest,
                   const char *service,
                   gboolean alone,
                   gpointer user_data);
  void (*give_back) (const QuinceRequestDigest *digest, gpointer user_data);
  void (*ended) (const QuinceSuspect *suspect, gpointer user_data);
  void (*cleared) (const QuinceRequestDigest *digest, gpointer user_data);
} QuinceSendGuardCallbacks;

/* From the settings of a process, section "quarantine". */
void quince_quarantine_read_limits (const QuinceSettings *settings, QuinceQuarantineLimits *limits);
QuinceSendGuard *quince_send_guard_new (const QuinceQuarantineLimits *limits,
                                        const QuinceSendGuardCallbacks *callbacks,
                                        gpointer user_data);
void quince_send_guard_free (QuinceSendGuard *guard);
/* (transfer none) */
QuinceQuarantine *quince_send_guard_get_quarantine (QuinceSendGuard *guard);

/* Whether a request may be sent now. */
typedef enum
{
  QUINCE_LEAVE_GIVEN,   /* yes                                                          */
  QUINCE_LEAVE_CAREFUL, /* yes, to one worker at a time                                 */
  QUINCE_LEAVE_PERMIT,  /* the same, under a permit that must be ended by a call below  */
  QUINCE_LEAVE_WAIT,    /* ask again after QUINCE_LEAVE_PAUSE_MS                        */
  QUINCE_LEAVE_UNSURE,  /* no: it needs a permit, and nobody gives one                  */
  QUINCE_LEAVE_HELD,    /* no                                                           */
} QuinceLeave;

#define QUINCE_LEAVE_PAUSE_MS 5

/* Nothing is suspected, and every request may be sent: no digest needs to be made. */
gboolean quince_send_guard_is_idle (const QuinceSendGuard *guard);
QuinceLeave quince_send_guard_ask (QuinceSendGuard *guard,
                                   gint64 now_us,
                                   const QuinceRequestDigest *digest,
                                   const char *service);
/* The answer to QuinceSendGuardCallbacks.ask(). */
void quince_send_guard_answer (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean given);
/* Whoever gives permits is gone, and what was asked of it. */
void quince_send_guard_forget_asked (QuinceSendGuard *guard);

/* How a send ended; @permit: it was made under one. */

/* The worker answered. */
void quince_send_guard_answered (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean permit);
/* The connection to @worker broke: (nullable) %NULL where it is not listed any more.  Until it is known
 * whether the worker ended, the request waits. */
void quince_send_guard_lost (QuinceSendGuard *guard,
                             const QuinceRequestDigest *digest,
                             gboolean permit,
                             const QuinceWorker *worker);
/* Neither; nothing was learned. */
void quince_send_guard_over (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean permit);

/* Logs what is known of @digest, as it is sent to a worker; nothing where it is not suspected. */
void quince_send_guard_log_sent (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestDigest *digest,
                                 const char *request_id,
                                 const char *worker_id);
/* Logs why @digest is not sent, for the request @request_id. */
void quince_send_guard_log_held (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestDigest *digest,
                                 const char *request_id);
void quince_send_guard_set_metrics (const QuinceSendGuard *guard);

G_END_DECLS
