/*
 * book-private.h: the inside of a rollout book, for its own modules.
 */
#pragma once

#include "claim-table.h"
#include "trainer.h"

#include <quince/rollout-book.h>

G_BEGIN_DECLS

struct _QuinceRolloutBook
{
  guint64 clock_ms;           /* greatest stamp of a record: only grows     */
  GTree *trainers;            /* owned: name to owned QuinceTrainer         */
  QuinceClaimTable *claims;   /* owned                                      */
  QuinceSampleLeases *leases; /* owned; soft state                          */
  QuinceRolloutTotals totals; /* replicated                                 */
  guint64 peeked_duplicates;  /* completions dropped by a peek, not replicated */
};

/* Trainer of that name; quince_rollout_book_add_trainer() makes it. */
QuinceTrainer *quince_rollout_book_find_trainer (const QuinceRolloutBook *book, const char *name);
QuinceTrainer *quince_rollout_book_add_trainer (QuinceRolloutBook *book, const char *name);

G_END_DECLS
