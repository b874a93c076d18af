/*
 * warmup-limit.h: how many requests a worker that has started lately is sent in any second.
 *
 * A limit counts the earlier sends that may still arrive in the same second as a new one.  Whoever gives
 * sends away keeps one limit a worker; whoever was given some keeps a lease of them.
 *
 * Pure: time is an argument, in microseconds of one clock that counts suspensions too.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* The bound holds in every window of this length. */
#define QUINCE_WARMUP_SPAN_US G_USEC_PER_SEC

/* Most requests in a second at a worker that bears @per_s, times @overage, and @slack more.
 * Returns: G_MAXUINT: no bound is told */
guint quince_warmup_most (double per_s, double overage, double slack);

/* ---- Who gives ---------------------------------------------------------- */

typedef struct _QuinceWarmupBook QuinceWarmupBook;

/* @margin_us: a send may arrive so much later than it was allowed to leave */
QuinceWarmupBook *quince_warmup_book_new (gint64 margin_us);
void quince_warmup_book_free (QuinceWarmupBook *book);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWarmupBook, quince_warmup_book_free)
/* Forgets all: another one gave until now, and what it gave last may be used until @used_until_us. */
void quince_warmup_book_take_over (QuinceWarmupBook *book, gint64 used_until_us);
/**
 * quince_warmup_book_give:
 * @is_cold: %FALSE: nobody but this giver sends to @worker: what another one gave does not matter
 * @most: in any second, see quince_warmup_most()
 * @sends: wanted
 * @until_us: they leave no later
 *
 * Returns: how many may be sent, 0 to @sends
 */
guint quince_warmup_book_give (QuinceWarmupBook *book,
                               gint64 now_us,
                               const char *worker,
                               gboolean is_cold,
                               guint most,
                               guint sends,
                               gint64 until_us);
/* When one more may be sent; not after @now_us: at once. */
gint64 quince_warmup_book_get_free_us (QuinceWarmupBook *book,
                                       gint64 now_us,
                                       const char *worker,
                                       gboolean is_cold,
                                       guint most);
/* Forgets workers to which nothing was sent lately. */
void quince_warmup_book_expire (QuinceWarmupBook *book, gint64 now_us);
/* Workers with sends on record.  For tests: nothing else shows that expiring frees memory. */
guint quince_warmup_book_get_size (const QuinceWarmupBook *book);

/* ---- Who was given ------------------------------------------------------ */

/* Sends to one worker that another process has allowed. */
typedef struct
{
  guint sends;         /* left */
  gint64 until_us;     /* not after it */
  gint64 again_us;     /* asked no sooner */
  guint64 ask;         /* number of the ask in progress; 0: none */
  gint64 requested_us; /* when it was sent */
  gboolean refused;    /* the last answer gave nothing */
} QuinceWarmupLease;

/* Whether one more may be sent now. */
gboolean quince_warmup_lease_has_room (const QuinceWarmupLease *lease, gint64 now_us);
/* Returns: whether one may be sent; it is used then. */
gboolean quince_warmup_lease_use (QuinceWarmupLease *lease, gint64 now_us);
/* Whether to ask now.  An ask that got no answer within @patience_us has ended. */
gboolean quince_warmup_lease_may_ask (const QuinceWarmupLease *lease, gint64 now_us, gint64 patience_us);
void quince_warmup_lease_note_request (QuinceWarmupLease *lease, gint64 now_us, guint64 ask);
/* The answer to @ask came; it is valid for @valid_us of the moment at which it was asked for.  Answers to
 * earlier asks are left out. */
void quince_warmup_lease_answered (QuinceWarmupLease *lease,
                                   gint64 now_us,
                                   guint64 ask,
                                   guint sends,
                                   gint64 valid_us,
                                   gint64 again_us);

G_END_DECLS
