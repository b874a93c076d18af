/*
 * ledger-node-private.h: the state of QuinceLedgerNode, for ledger-node.c and ledger-node-state.c.
 */
#pragma once

#include "ledger-node.h"

#include "runtime/timer.h"

#include "ledger-election.h"
#include "ledger-follower.h"
#include "ledger-member-links.h"
#include "ledger-membership.h"
#include "ledger-outage.h"
#include "ledger-records.h"
#include "ledger-replication.h"
#include "ledger-storage.h"

struct _QuinceLedgerNode
{
  /* All fields belong to the main context. */
  const QuinceLedgerNodeCallbacks *callbacks; /* borrowed */
  gpointer user_data;
  QuinceLedgerMember self; /* owned strings */
  char *zone;              /* owned; zone of this machine */

  QuinceLedgerGroup *group;
  QuinceLedgerStorage *storage;
  QuinceLedgerMemberLinks *member_links;
  QuinceLedgerElection *election;
  QuinceLedgerMembership *membership;
  QuinceLedgerFollower *follower;
  QuinceLedgerReplication *replication;
  QuinceLedgerRecords *records;
  QuinceLedgerOutage outage;

  QuinceLinkServer *server;
  GHashTable *incoming_links; /* QuinceLink, owned: from fronts, backups and other members */
  QuinceTimer *tick;
};
