/*
 * ledger-election.h: who leads the ledger: campaigns and promises, queries and their answers.
 *
 * Owns the pace of queries.  Relies on the group for each decision, on the storage to have promises and notes
 * on the disk before an answer that follows from them is sent, on the links to members.  All calls belong to
 * the main context.
 */
#pragma once

#include "meta/meta-store.h"

#include "ledger-member-links.h"
#include "ledger-storage.h"

typedef struct _QuinceLedgerElection QuinceLedgerElection;

/**
 * QuinceLedgerElectionCallbacks:
 * @role_changed: the role or the view may have changed
 * @propose_view_change: a change of the view may be there to propose
 * @is_backup: whether @replica is linked as a backup of this leader
 */
typedef struct
{
  void (*role_changed) (gpointer user_data);
  void (*propose_view_change) (gpointer user_data);
  gboolean (*is_backup) (guint64 replica, gpointer user_data);
} QuinceLedgerElectionCallbacks;

/* @replica: id of this one; all objects are borrowed and must outlive the election */
QuinceLedgerElection *quince_ledger_election_new (guint64 replica,
                                                  QuinceLedgerGroup *group,
                                                  QuinceLedgerStorage *storage,
                                                  QuinceLedgerMemberLinks *links,
                                                  QuinceMetaStore *store,
                                                  const QuinceLedgerElectionCallbacks *callbacks,
                                                  gpointer user_data);
void quince_ledger_election_free (QuinceLedgerElection *election);

/* Asks the members for promises where this replica campaigns; to be called several times a second. */
void quince_ledger_election_campaign (QuinceLedgerElection *election);
/* Asks the members who leads where the leader is silent; to be called several times a second.  @is_leader:
 * this replica has begun to lead: it informs members that are no backups of it, while the metadata store is
 * away
 */
void quince_ledger_election_query (QuinceLedgerElection *election, gboolean is_leader);
/* Leads if a quorum has promised and the metadata store is away or too slow; to be called several times a
 * second. */
void quince_ledger_election_try_lead_without_store (QuinceLedgerElection *election);

/* A member asks for a promise; answered on @link where it is given, once it is on the disk. */
void quince_ledger_election_handle_promise_request (QuinceLedgerElection *election,
                                                    QuinceLink *link,
                                                    const QuinceLedgerAsk *ask);
/* Another replica, or a front, asks who leads; answered on @link where a view is known. */
void quince_ledger_election_handle_query (QuinceLedgerElection *election,
                                          QuinceLink *link,
                                          const QuinceLedgerQuery *query);
/* A member's promise to follow this replica. */
void quince_ledger_election_handle_promise (QuinceLedgerElection *election,
                                            const QuinceLedgerPromise *promise);
/* A member's answer to a query, or the news of a new leader. */
void quince_ledger_election_handle_lead (QuinceLedgerElection *election, const QuinceLedgerLead *lead);
