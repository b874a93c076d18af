/*
 * quarantine.h: requests that were running on a worker when it ended, and when each may be sent again.
 *
 * A worker has ended when its process is gone.  This counts as one end for each request that ran on it, and
 * makes the request a suspect.  A suspect may be harmless: it shared the worker with a request that crashes
 * workers, or the worker failed for another reason.  Therefore a suspect is sent under a permit, and only one
 * send of it is in flight.  From its second end it is sent alone: its permit excludes such permits of other
 * suspects at the service for a short time.  If a worker answers, the suspect is cleared.  A suspect is held,
 * that is, not sent any more, after four ends if it was sent alone at two of them.  Items of batches and
 * their reward calls are owed: if their suspect is held, they are sent after growing pauses; see
 * core/decisions/admission.h.
 *
 * A prompt that several requests share is a suspect of its own.  The ends of its requests add up, so that a
 * prompt that crashes workers is held after as many ends as a single request.  An answer to any of its
 * requests clears the prompt.  For one minute after that, its ends are ignored until a worker ends that ran
 * one of its requests alone.  Ends of a single request never hold its prompt.
 *
 * Each process keeps a quarantine in memory, within limits.  The leader also grants the permits.  The
 * functions do no I/O and read no clock.  Times are in microseconds of a monotonic clock that includes system
 * suspend.
 */
#pragma once

#include "core/request/request-digest.h"
#include "core/routing/worker-incarnation.h"

G_BEGIN_DECLS

/* A suspect with at least this many ends is sent alone.  A single end is often coincidence. */
#define QUINCE_QUARANTINE_ALONE_ENDS_MIN 2
/* Ends needed to hold a suspect.  Three may be coincidence. */
#define QUINCE_QUARANTINE_HOLD_ENDS_MIN 4
/* Of the ends needed to hold a suspect, the minimum at which it was sent alone. */
#define QUINCE_QUARANTINE_HOLD_ALONE_ENDS_MIN 2
/* Workers recorded for each suspect, the most recent ones: twice the ends needed to hold it. */
#define QUINCE_QUARANTINE_WORKERS_MAX 8

typedef enum
{
  QUINCE_SUSPECT_REQUEST, /* one request                          */
  QUINCE_SUSPECT_PROMPT,  /* a prompt that several requests share */
} QuinceSuspectScope;

/* Returns the name of @scope in logs and in the metadata store. */
const char *quince_suspect_scope_name (QuinceSuspectScope scope);

/**
 * QuinceQuarantineLimits:
 * @suspects_max: number of suspects; also limits the number of recorded prompt clears and of ended workers
 * @suspect_bytes_max: memory of all suspects, in bytes
 * @suspect_ttl_us: time after its last end at which a suspect that is not held expires, us
 * @held_ttl_us: the same for a held suspect
 */
typedef struct
{
  guint suspects_max;
  gsize suspect_bytes_max;
  gint64 suspect_ttl_us;
  gint64 held_ttl_us;
} QuinceQuarantineLimits;

/**
 * QuinceSuspect:
 * @release: number of times an operator released it; reports with a lower number are outdated
 * @workers: the last @n_workers incarnations of workers that ended while running it
 * @alone: number of ends at which it was sent alone; for a prompt, successive ends of the same request count
 * once
 * @member: for a prompt, the hash of the last request whose end was counted in @alone; 0: none
 * @held: it is not sent any more, unless it is owed
 * @ended_us: time of the last end
 * @service: (nullable): service of the worker that ended last
 * @software: (nullable): software version of that worker
 * @reported_by: (nullable): process that reported the last end; %NULL: this process
 */
typedef struct
{
  QuinceRequestDigest digest;
  QuinceSuspectScope scope;
  guint64 release;
  QuinceIncarnation workers[QUINCE_QUARANTINE_WORKERS_MAX];
  guint n_workers;
  guint alone;
  guint64 member;
  gboolean held;
  gint64 ended_us;
  char *service;
  char *software;
  char *reported_by;
} QuinceSuspect;

/* Returns (transfer full): a deep copy */
QuinceSuspect *quince_suspect_copy (const QuinceSuspect *suspect);
/* Frees a copy made by quince_suspect_copy(). */
void quince_suspect_free (QuinceSuspect *suspect);

/* What must be satisfied before a request is sent. */
typedef enum
{
  QUINCE_SEND_UNRESTRICTED, /* nothing: it is not a suspect                     */
  QUINCE_SEND_BY_PERMIT,    /* a permit, if there is a leader to grant one      */
  QUINCE_SEND_ALONE,        /* a permit to run alone, see quince_permits_take() */
  QUINCE_SEND_HELD,         /* it must not be sent, unless it is owed           */
} QuinceSendRule;

typedef struct _QuinceQuarantine QuinceQuarantine;

QuinceQuarantine *quince_quarantine_new (const QuinceQuarantineLimits *limits);
void quince_quarantine_free (QuinceQuarantine *quarantine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceQuarantine, quince_quarantine_free)

/**
 * quince_quarantine_record_end:
 * @observed: digest, scope, one worker with its service and software, @alone as 0 or 1, and @member for a
 * prompt
 *
 * Records that a worker ended while running the request.  An end of a prompt that was cleared within the last
 * minute is ignored, unless the request was sent alone.
 *
 * Returns: (transfer none) (nullable): the suspect, valid until the next change; %NULL if the end was ignored
 */
const QuinceSuspect *
quince_quarantine_record_end (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *observed);
/* Sets @expected to the state that the suspect would have after the end @observed, without recording the end.
 * Does not update @expected->held.  The strings of @expected are borrowed from the recorded suspect, or
 * %NULL if there is none. */
void quince_quarantine_expect_end (const QuinceQuarantine *quarantine,
                                   gint64 now_us,
                                   const QuinceSuspect *observed,
                                   QuinceSuspect *expected);
/* Merges a suspect that another process reported.  Ignores it if it has expired, is of an earlier release, or
 * is outdated by a clear of the prompt.  Returns whether the merge changed the quarantine. */
gboolean quince_quarantine_merge (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *reported);
/* Removes the suspect, since a worker answered the request.  Returns whether there was one. */
gboolean quince_quarantine_clear (QuinceQuarantine *quarantine, const QuinceRequestDigest *digest);
/* Removes the suspected prompt, since a worker answered one of its requests.  For a minute, ends of the
 * prompt are ignored unless the request was sent alone.  Returns whether there was a suspect. */
gboolean quince_quarantine_clear_prompt (QuinceQuarantine *quarantine,
                                         gint64 now_us,
                                         const QuinceRequestDigest *digest);
/**
 * quince_quarantine_identify_end:
 * @worker: the incarnation to which the request was sent, as far as this process knows
 * @sent_us: time of the send
 *
 * A worker may have started again before this process reads its new entry.  A request that was sent after its
 * last recorded end, and under which a worker ends that is recorded for it already, ended a later start of
 * that worker.
 *
 * Returns: the incarnation to record as ended: @worker, or a successor of it that is not recorded yet
 */
QuinceIncarnation quince_quarantine_identify_end (const QuinceQuarantine *quarantine,
                                                  const QuinceRequestDigest *digest,
                                                  QuinceIncarnation worker,
                                                  gint64 sent_us);
/* Records that @worker ended at @ended_us, apart from any request. */
void quince_quarantine_record_ended_worker (QuinceQuarantine *quarantine,
                                            gint64 ended_us,
                                            QuinceIncarnation worker);
/* Returns whether @worker is recorded as ended.  The record expires after a minute, see
 * quince_quarantine_expire(). */
gboolean quince_quarantine_has_worker_ended (const QuinceQuarantine *quarantine, QuinceIncarnation worker);
/* Removes the record that @worker ended, since it runs again under the same entry.  The ends that suspects
 * count remain. */
void quince_quarantine_forget_ended_worker (QuinceQuarantine *quarantine, QuinceIncarnation worker);
/* Releases a held suspect by order of an operator: it is sent alone, and one more end at which it was sent
 * alone holds it again.  Returns whether it was held. */
gboolean
quince_quarantine_release (QuinceQuarantine *quarantine, gint64 now_us, const QuinceRequestDigest *digest);
/* Removes all expired suspects, prompt clears and ended workers. */
void quince_quarantine_expire (QuinceQuarantine *quarantine, gint64 now_us);
/* Returns (transfer none) (nullable): the suspect, valid until the next change */
const QuinceSuspect *quince_quarantine_find (const QuinceQuarantine *quarantine,
                                             const QuinceRequestDigest *digest);
QuinceSendRule quince_quarantine_get_rule (const QuinceQuarantine *quarantine,
                                           const QuinceRequestDigest *digest);
guint quince_quarantine_get_size (const QuinceQuarantine *quarantine);
/* Returns the number of workers that are recorded as ended. */
guint quince_quarantine_get_n_ended_workers (const QuinceQuarantine *quarantine);
gsize quince_quarantine_get_bytes (const QuinceQuarantine *quarantine);
/* Returns (transfer container) (element-type QuinceSuspect): all suspects, valid until the next change */
GPtrArray *quince_quarantine_list (const QuinceQuarantine *quarantine);

/* Returns the hash of a request for QuinceSuspect.member; never 0. */
guint64 quince_quarantine_hash_request (const QuinceRequestDigest *request);
/**
 * quince_suspect_get_owed_pause_us:
 *
 * Computes the pause of owed work after the last end of its suspect, or of the suspect of its prompt.  It
 * doubles with each end at which the suspect was sent alone, from 0.5 s to 3 s.  A request that crashes
 * workers thus costs its service one worker in 3 s at most, until its queue time or its batch ends; a
 * harmless one is delayed by 3 s at most.
 *
 * Returns: the pause, us; 0 if @suspect is not held
 */
gint64 quince_suspect_get_owed_pause_us (const QuinceSuspect *suspect);
/* Returns the time until the pauses of an owed request are over, us; 0 if neither it nor its prompt is held.
 */
gint64 quince_quarantine_get_owed_wait_us (const QuinceQuarantine *quarantine,
                                           gint64 now_us,
                                           const QuinceRequestIdentity *identity);
/* Returns whether other requests of the same suspected prompt are to be sent before this one.  That is the
 * case for one second after the last end of the prompt, and 0.3 s after the pause of a held one, if this
 * request is its QuinceSuspect.member: another end of the same request would not count against the prompt. */
gboolean quince_quarantine_should_yield (const QuinceQuarantine *quarantine,
                                         gint64 now_us,
                                         const QuinceRequestIdentity *identity);
/* Restarts the one second of quince_quarantine_should_yield() for all prompts.  A new leader calls it, since
 * no request was sent during the election. */
void quince_quarantine_restart_yield_time (QuinceQuarantine *quarantine, gint64 now_us);

/* ---- Permits ----------------------------------------------------------- */

/* Permits to send suspects: at most one at a time for each digest.  A permit to run alone excludes other such
 * permits of its service for 0.3 s, so their requests may still overlap. */
typedef struct _QuincePermits QuincePermits;

QuincePermits *quince_permits_new (void);
void quince_permits_free (QuincePermits *permits);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePermits, quince_permits_free)
/**
 * quince_permits_take:
 * @alone: the permit is to run alone: it is refused for 0.3 s after another permit with @alone was granted
 *   for @service, unless that one was returned.  Permits without @alone neither exclude others nor are
 *   excluded in this way.
 * @holder: identifies the process that requests the permit
 * @expiry_us: time at which the permit expires if it is not returned
 *
 * Returns: whether the permit is granted
 */
gboolean quince_permits_take (QuincePermits *permits,
                              gint64 now_us,
                              const QuinceRequestDigest *digest,
                              const char *service,
                              gboolean alone,
                              gconstpointer holder,
                              gint64 expiry_us);
/* Returns the number of unreturned permits for @service that were granted within the last 0.3 s, except for
 * the digest @excluded.  Their requests may still end their workers. */
guint quince_permits_count_recent (const QuincePermits *permits,
                                   gint64 now_us,
                                   const char *service,
                                   const QuinceRequestDigest *excluded);
/* Returns the permit for @digest, if @holder holds it. */
void quince_permits_return (QuincePermits *permits, const QuinceRequestDigest *digest, gconstpointer holder);
/* Returns all permits of @holder, whose process is gone. */
void quince_permits_return_all (QuincePermits *permits, gconstpointer holder);

G_END_DECLS
