/*
 * quarantine.h: requests under which workers ended, and who may send them once more.
 *
 * A request that ends each worker that runs it must be told from one that was only near when workers ended:
 * a neighbour in the slots of a worker, or a request that met workers which died for reasons of their own. So
 * an end alone holds nothing.  A request under which workers ended is sent on by permit, one at a time; from
 * the second end on nothing else that is suspected runs at its service meanwhile.  An answer proves that it
 * is innocent and forgets it.  Ends that it met alone count against it, and hold it in the end.
 *
 * Pure: time is an argument, in microseconds of one clock that counts suspensions too.
 */
#pragma once

#include <quince/request-digest.h>

G_BEGIN_DECLS

/* From so many ends on a request is sent only alone. */
#define QUINCE_QUARANTINE_ENDS_ALONE 2
/* A request is held after so many ends, of which it met so many alone: three ends may be chance, and the
 * fourth is met alone, as the one before. */
#define QUINCE_QUARANTINE_ENDS_LEAST 4
#define QUINCE_QUARANTINE_ALONE_LEAST 2
/* Workers that are remembered of one request, those that ended last. */
#define QUINCE_QUARANTINE_WORKERS_MOST 8

/**
 * QuinceQuarantineLimits:
 * @entries_most: requests that are remembered
 * @bytes_most: what they may take, in bytes
 * @doubt_keep_us: a request that is not held is forgotten so long after its last end
 * @hold_keep_us: a held one
 */
typedef struct
{
  guint entries_most;
  gsize bytes_most;
  gint64 doubt_keep_us;
  gint64 hold_keep_us;
} QuinceQuarantineLimits;

/**
 * QuinceSuspect:
 * @release: how often it was released before; what is told of an older release is out of date
 * @workers: hashes of the ids of workers that ended under it, @n_workers of them
 * @alone: of these, ended while it ran alone
 * @ended_us: when the last one ended
 * @service: (nullable): of the last one
 * @software: (nullable): version of its software
 * @told_by: (nullable): process that told of the last one; %NULL: seen here
 */
typedef struct
{
  QuinceRequestDigest digest;
  guint64 release;
  guint64 workers[QUINCE_QUARANTINE_WORKERS_MOST];
  guint n_workers;
  guint alone;
  gboolean held;
  gint64 ended_us;
  char *service;
  char *software;
  char *told_by;
} QuinceSuspect;

/* What a request needs before it is sent. */
typedef enum
{
  QUINCE_SEND_FREE,      /* nothing                                          */
  QUINCE_SEND_BY_PERMIT, /* a permit where one can be had                    */
  QUINCE_SEND_ALONE,     /* a permit for a run beside no other suspect       */
  QUINCE_SEND_HELD,      /* it is not sent                                   */
} QuinceSendRule;

typedef struct _QuinceQuarantine QuinceQuarantine;

QuinceQuarantine *quince_quarantine_new (const QuinceQuarantineLimits *limits);
void quince_quarantine_free (QuinceQuarantine *quarantine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceQuarantine, quince_quarantine_free)

/**
 * quince_quarantine_note_end:
 * @seen: the digest, one worker, its service and software, and @alone 0 or 1
 *
 * A worker ended while the request ran there.  Returns: (transfer none): what is known now
 */
const QuinceSuspect *
quince_quarantine_note_end (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *seen);
/* Takes in what another process knows.  Returns: whether more is known now */
gboolean quince_quarantine_merge (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *told);
/* A worker answered the request.  Returns: whether it was suspected */
gboolean quince_quarantine_clear (QuinceQuarantine *quarantine, const QuinceRequestDigest *digest);
/* It is sent once more, alone; a further end holds it again.  Returns: whether it was held */
gboolean
quince_quarantine_release (QuinceQuarantine *quarantine, gint64 now_us, const QuinceRequestDigest *digest);
/* Forgets what is older than it is kept. */
void quince_quarantine_expire (QuinceQuarantine *quarantine, gint64 now_us);
/* (nullable): until the next change */
const QuinceSuspect *quince_quarantine_find (const QuinceQuarantine *quarantine,
                                             const QuinceRequestDigest *digest);
QuinceSendRule quince_quarantine_judge (const QuinceQuarantine *quarantine,
                                        const QuinceRequestDigest *digest);
guint quince_quarantine_get_size (const QuinceQuarantine *quarantine);
gsize quince_quarantine_get_bytes (const QuinceQuarantine *quarantine);
/* (transfer container): QuinceSuspect, until the next change */
GPtrArray *quince_quarantine_list (const QuinceQuarantine *quarantine);

/* What stands for a worker in QuinceSuspect. */
guint64 quince_quarantine_hash_worker (const char *worker_id);

/* ---- Permits ----------------------------------------------------------- */

/* Who may send a suspected request: one at a time of each digest, and one alone at each service. */
typedef struct _QuincePermits QuincePermits;

QuincePermits *quince_permits_new (void);
void quince_permits_free (QuincePermits *permits);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePermits, quince_permits_free)
/**
 * quince_permits_take:
 * @holder: whoever asks
 * @until_us: it ends by itself then
 *
 * Returns: whether it is given
 */
gboolean quince_permits_take (QuincePermits *permits,
                              gint64 now_us,
                              const QuinceRequestDigest *digest,
                              const char *service,
                              gboolean alone,
                              gconstpointer holder,
                              gint64 until_us);
void quince_permits_return (QuincePermits *permits, const QuinceRequestDigest *digest, gconstpointer holder);
/* @holder is gone, and with it its permits. */
void quince_permits_forget_holder (QuincePermits *permits, gconstpointer holder);

G_END_DECLS
