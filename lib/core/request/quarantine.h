/*
 * quarantine.h: requests under which workers ended, and the rule by which each may be sent again.
 *
 * A request that ends every worker that runs it must be told apart from one that was only running when
 * workers ended: beside it in the slots of a worker, or at workers that died for other reasons.  So one end
 * alone holds nothing.  A request under which workers ended is a suspect and is sent by permit, once at a
 * time; from the second end on no other suspect runs at its service meanwhile.  An answer proves it innocent
 * and clears it.  Ends that it met alone count against it, and hold it at last.
 *
 * A shared prompt is a suspect of its own, beside the requests that share it: their ends add up, so that a
 * prompt which ends workers is held after as many ends as a single request.  The answer of any of them clears
 * it, and for a minute only ends that are met alone count against it.  One request alone never holds its
 * prompt.
 *
 * For: the send guard of each process, and the leader, which gives permits.  Owns: what is known of each
 * suspect, in memory, within limits.  Relies on: nothing; pure: time is an argument, in microseconds of one
 * clock that counts suspensions too.
 */
#pragma once

#include "core/request/request-digest.h"

G_BEGIN_DECLS

/* Ends of workers from which on a request is sent only alone.  Not measured: one end may be chance. */
#define QUINCE_QUARANTINE_ALONE_ENDS_MIN 2
/* Ends of workers after which a request is held, if it met some of them alone: three may be chance. */
#define QUINCE_QUARANTINE_HOLD_ENDS_MIN 4
/* How many of these it must have met alone: the last two are, by the rule above. */
#define QUINCE_QUARANTINE_HOLD_ALONE_ENDS_MIN 2
/* Workers remembered of one request, the last ones: twice the ends after which it is held. */
#define QUINCE_QUARANTINE_WORKERS_MAX 8

/* What is suspected. */
typedef enum
{
  QUINCE_SUSPECT_REQUEST, /* one request                             */
  QUINCE_SUSPECT_PROMPT,  /* what several requests share             */
} QuinceSuspectScope;

/* As logs and the metadata store write it. */
const char *quince_suspect_scope_name (QuinceSuspectScope scope);

/**
 * QuinceQuarantineLimits:
 * @suspects_max: requests that are remembered
 * @suspect_bytes_max: what they may take, in bytes
 * @suspect_ttl_us: time after its last end at which a request that is not held is forgotten, us
 * @held_ttl_us: a held one
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
 * @release: how often it was released before; reports of an older release are out of date
 * @workers: hashes of the ids of workers that ended under it, @n_workers of them
 * @alone: of these, ended while it ran alone; of a prompt, counted once for each request in a row
 * @member: of a prompt: hash of the request that last met an end alone; 0: none
 * @ended_us: when the last one ended
 * @service: (nullable): of the last one
 * @software: (nullable): version of its software
 * @reported_by: (nullable): process that reported the last one; %NULL: seen here
 */
typedef struct
{
  QuinceRequestDigest digest;
  QuinceSuspectScope scope;
  guint64 release;
  guint64 workers[QUINCE_QUARANTINE_WORKERS_MAX];
  guint n_workers;
  guint alone;
  guint64 member;
  gboolean held;
  gint64 ended_us;
  char *service;
  char *software;
  char *reported_by;
} QuinceSuspect;

/* (transfer full): with texts of its own */
QuinceSuspect *quince_suspect_copy (const QuinceSuspect *suspect);
/* Of one that quince_suspect_copy() made. */
void quince_suspect_free (QuinceSuspect *suspect);

/* What a request needs before it is sent. */
typedef enum
{
  QUINCE_SEND_UNRESTRICTED, /* nothing                                          */
  QUINCE_SEND_BY_PERMIT,    /* a permit where one can be had                    */
  QUINCE_SEND_ALONE,        /* a permit for a run beside no other suspect       */
  QUINCE_SEND_HELD,         /* it is not sent                                   */
} QuinceSendRule;

typedef struct _QuinceQuarantine QuinceQuarantine;

QuinceQuarantine *quince_quarantine_new (const QuinceQuarantineLimits *limits);
void quince_quarantine_free (QuinceQuarantine *quarantine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceQuarantine, quince_quarantine_free)

/**
 * quince_quarantine_record_end:
 * @observed: the digest, one worker, its service and software, and @alone 0 or 1
 *
 * A worker ended while the request ran there.  Returns: (transfer none) (nullable): what is known now; %NULL:
 * a prompt that was answered a while ago, and was not alone
 */
const QuinceSuspect *
quince_quarantine_record_end (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *observed);
/* What would be known after the end @observed, of which nothing is noted.  @expected: texts are those of what
 * is known
 */
void quince_quarantine_expect_end (const QuinceQuarantine *quarantine,
                                   gint64 now_us,
                                   const QuinceSuspect *observed,
                                   QuinceSuspect *expected);
/* Takes in what another process knows.  Returns: whether more is known now */
gboolean quince_quarantine_merge (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *reported);
/* A worker answered the request.  Returns: whether it was suspected */
gboolean quince_quarantine_clear (QuinceQuarantine *quarantine, const QuinceRequestDigest *digest);
/* The same of a prompt: one of its requests was answered. */
gboolean quince_quarantine_clear_prompt (QuinceQuarantine *quarantine,
                                         gint64 now_us,
                                         const QuinceRequestDigest *digest);
/* Whether a worker is known to have ended under a request, of late; @worker: see
 * quince_quarantine_hash_worker() */
gboolean quince_quarantine_has_worker_ended (const QuinceQuarantine *quarantine, guint64 worker);
/* It is sent once more, alone; a further end holds it again.  Returns: whether it was held */
gboolean
quince_quarantine_release (QuinceQuarantine *quarantine, gint64 now_us, const QuinceRequestDigest *digest);
/* Forgets what is older than it is kept. */
void quince_quarantine_expire (QuinceQuarantine *quarantine, gint64 now_us);
/* (nullable): until the next change */
const QuinceSuspect *quince_quarantine_find (const QuinceQuarantine *quarantine,
                                             const QuinceRequestDigest *digest);
QuinceSendRule quince_quarantine_get_rule (const QuinceQuarantine *quarantine,
                                           const QuinceRequestDigest *digest);
guint quince_quarantine_get_size (const QuinceQuarantine *quarantine);
gsize quince_quarantine_get_bytes (const QuinceQuarantine *quarantine);
/* (transfer container): QuinceSuspect, until the next change */
GPtrArray *quince_quarantine_list (const QuinceQuarantine *quarantine);

/* The hash of a worker in QuinceSuspect. */
guint64 quince_quarantine_hash_worker (const char *worker_id);
/* The hash of a request in QuinceSuspect.member. */
guint64 quince_quarantine_hash_request (const QuinceRequestDigest *request);
/* Whether another request of the prompt had better be sent first: this one met the last end alone, and says
 * nothing more of what they share. */
gboolean quince_quarantine_should_yield (const QuinceQuarantine *quarantine,
                                         gint64 now_us,
                                         const QuinceRequestIdentity *identity);
/* No process sent anything until now: requests give way as if their ends were met now. */
void quince_quarantine_restart_yield_time (QuinceQuarantine *quarantine, gint64 now_us);

/* ---- Permits ----------------------------------------------------------- */

/* Who may send a suspected request: one at a time of each digest, and one alone at each service. */
typedef struct _QuincePermits QuincePermits;

QuincePermits *quince_permits_new (void);
void quince_permits_free (QuincePermits *permits);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePermits, quince_permits_free)
/**
 * quince_permits_take:
 * @holder: identifies the process that asks
 * @expiry_us: it ends by itself then
 *
 * Returns: whether it is given
 */
gboolean quince_permits_take (QuincePermits *permits,
                              gint64 now_us,
                              const QuinceRequestDigest *digest,
                              const char *service,
                              gboolean alone,
                              gconstpointer holder,
                              gint64 expiry_us);
/* Requests at @service, but for @excluded, that were permitted a moment ago, so that they may still end their
 * workers. */
guint quince_permits_count_recent (const QuincePermits *permits,
                                   gint64 now_us,
                                   const char *service,
                                   const QuinceRequestDigest *excluded);
void quince_permits_return (QuincePermits *permits, const QuinceRequestDigest *digest, gconstpointer holder);
/* @holder is gone, and with it its permits. */
void quince_permits_return_all (QuincePermits *permits, gconstpointer holder);

G_END_DECLS
