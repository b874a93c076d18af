/*
 * ledger-election.h: elections of the ledger's leader, and queries for the current leader.
 *
 * A candidate asks the other members for promises.  A replica without contact to the leader asks the members
 * who leads.  The ledger group makes each decision; the election sends the messages, after the storage has
 * written the promises and acknowledgements that they depend on.  All functions must be called in the main
 * context.
 */
#pragma once

#include "meta/meta-store.h"

#include "ledger-member-links.h"
#include "ledger-storage.h"

typedef struct _QuinceLedgerElection QuinceLedgerElection;

/**
 * QuinceLedgerElectionCallbacks:
 * @role_changed: the role of this replica or the view may have changed
 * @propose_view_change: a view change may be ready to be proposed to the metadata store
 * @is_backup: returns whether @replica is connected to this leader as a backup
 */
typedef struct
{
  void (*role_changed) (gpointer user_data);
  void (*propose_view_change) (gpointer user_data);
  gboolean (*is_backup) (guint64 replica, gpointer user_data);
} QuinceLedgerElectionCallbacks;

/* @replica: replica id of this process.  All objects are borrowed and must outlive the election. */
QuinceLedgerElection *quince_ledger_election_new (guint64 replica,
                                                  QuinceLedgerGroup *group,
                                                  QuinceLedgerStorage *storage,
                                                  QuinceLedgerMemberLinks *links,
                                                  QuinceMetaStore *store,
                                                  const QuinceLedgerElectionCallbacks *callbacks,
                                                  gpointer user_data);
void quince_ledger_election_free (QuinceLedgerElection *election);

/* Asks the other members for promises if this replica campaigns.  Must be called several times a second. */
void quince_ledger_election_campaign (QuinceLedgerElection *election);
/* Sends a query to the leader or to all members if one is due, and closes idle links to members.  If this
 * replica leads (@is_leader), also requests acknowledgements of a membership change, and while the metadata
 * store is unreachable announces itself to members that are not connected as its backups.  Must be called
 * several times a second. */
void quince_ledger_election_query (QuinceLedgerElection *election, gboolean is_leader);
/* Becomes leader if a quorum has promised and the metadata store is unreachable or too slow.  Must be called
 * several times a second. */
void quince_ledger_election_try_lead_without_store (QuinceLedgerElection *election);

/* Handles the promise request of a member.  A granted promise is sent on @link once it is on disk. */
void quince_ledger_election_handle_promise_request (QuinceLedgerElection *election,
                                                    QuinceLink *link,
                                                    const QuinceLedgerAsk *request);
/* Handles a query from another replica or a front.  Answers on @link if a view is known. */
void quince_ledger_election_handle_query (QuinceLedgerElection *election,
                                          QuinceLink *link,
                                          const QuinceLedgerQuery *query);
/* Handles the leader's request to acknowledge a membership change, and answers on @link. */
void quince_ledger_election_handle_change_request (QuinceLedgerElection *election,
                                                   QuinceLink *link,
                                                   const QuinceLedgerChangeRequest *request);
/* Handles the changes that another replica has acknowledged. */
void quince_ledger_election_handle_change_ack (QuinceLedgerElection *election,
                                               const QuinceLedgerChangeAck *ack);
/* Handles the promise of a member to follow this replica. */
void quince_ledger_election_handle_promise (QuinceLedgerElection *election,
                                            const QuinceLedgerPromise *promise);
/* Handles the answer of a member to a query, or the announcement of a new leader. */
void quince_ledger_election_handle_lead (QuinceLedgerElection *election, const QuinceLedgerLead *lead);
