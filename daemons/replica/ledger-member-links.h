/*
 * ledger-member-links.h: links to members of the ledger that a replica asks for promises, or who leads.
 *
 * Owns the links, and the addresses that members introduced themselves with since the view was read.  Relies
 * on the group for the addresses of the view.  All calls belong to the main context.
 */
#pragma once

#include "core/group/ledger-group.h"
#include "runtime/link.h"

typedef struct _QuinceLedgerMemberLinks QuinceLedgerMemberLinks;

/**
 * QuinceLedgerMemberLinksCallbacks:
 * @promise_received: a member promises to follow this replica
 * @lead_received: a member says who leads
 */
typedef struct
{
  void (*promise_received) (const QuinceLedgerPromise *promise, gpointer user_data);
  void (*lead_received) (const QuinceLedgerLead *lead, gpointer user_data);
} QuinceLedgerMemberLinksCallbacks;

/* @group and @callbacks must outlive the links. */
QuinceLedgerMemberLinks *quince_ledger_member_links_new (const QuinceLedgerGroup *group,
                                                         const QuinceLedgerMemberLinksCallbacks *callbacks,
                                                         gpointer user_data);
/* Closes the links. */
void quince_ledger_member_links_free (QuinceLedgerMemberLinks *links);

/* Sends @message to @member; links to it where there is no link. */
void quince_ledger_member_links_send (QuinceLedgerMemberLinks *links,
                                      const QuinceLedgerMember *member,
                                      const QuinceMessage *message);
/* @member introduced itself with its address.  Returns: whether it is another one than was known */
gboolean quince_ledger_member_links_set_address (QuinceLedgerMemberLinks *links,
                                                 const QuinceLedgerMember *member);
/* A newer view was read: its addresses hold from now on. */
void quince_ledger_member_links_clear_addresses (QuinceLedgerMemberLinks *links);
/* Closes links that were not used lately, and those that do not connect; to be called several times a second.
 */
void quince_ledger_member_links_close_idle (QuinceLedgerMemberLinks *links);
