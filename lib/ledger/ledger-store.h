/*
 * ledger-store.h: the durable part of a ledger replica, one SQLite file.
 *
 * Every change runs inside a transaction that is synced to disk by its
 * commit.  Rows carry checksums; what does not pass them is refused as
 * corrupt when the store is opened.  One thread at a time.
 */
#pragma once

#include <quince/ledger.h>

G_BEGIN_DECLS

typedef struct _QuinceLedgerStore QuinceLedgerStore;

/* Contents as they were when the store was opened. */
typedef struct
{
  guint64 replica_id; /* random, made with the file                        */
  guint64 epoch;
  guint64 voted_for;
  guint64 snapshot_index;
  guint64 snapshot_epoch;
  QuinceReplicaSet *snapshot_voters; /* NULL: not part of a ledger yet      */
  GBytes *snapshot;                  /* (nullable)                          */
  GPtrArray *entries;                /* QuinceEntry after the snapshot      */
} QuinceLedgerContents;

void quince_ledger_contents_free (QuinceLedgerContents *contents);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerContents, quince_ledger_contents_free)

/**
 * quince_ledger_store_open:
 * @folder: made when absent
 * @contents: (out) (transfer full)
 *
 * Errors: %QUINCE_LEDGER_ERROR_OPEN (also while another process has it open),
 * %QUINCE_LEDGER_ERROR_CORRUPT.
 */
QuinceLedgerStore *
quince_ledger_store_open (const char *folder, QuinceLedgerContents **contents, GError **error);
void quince_ledger_store_close (QuinceLedgerStore *store);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerStore, quince_ledger_store_close)

/* All of these: %QUINCE_LEDGER_ERROR_OPEN when the disk refuses. */
gboolean quince_ledger_store_begin (QuinceLedgerStore *store, GError **error);
/* Returns with everything since begin on disk. */
gboolean quince_ledger_store_commit (QuinceLedgerStore *store, GError **error);
gboolean
quince_ledger_store_put_vote (QuinceLedgerStore *store, guint64 epoch, guint64 voted_for, GError **error);
/* Deletes entries from the first one's index on, then adds @entries (QuinceEntry). */
gboolean quince_ledger_store_put_entries (QuinceLedgerStore *store, GPtrArray *entries, GError **error);
/* Replaces the snapshot and deletes entries up to @index, or all of them with @reset. */
gboolean quince_ledger_store_put_snapshot (QuinceLedgerStore *store,
                                           guint64 index,
                                           guint64 epoch,
                                           const QuinceReplicaSet *voters,
                                           GBytes *data,
                                           gboolean reset,
                                           GError **error);

G_END_DECLS
