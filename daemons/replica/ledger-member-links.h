/*
 * ledger-member-links.h: links to other members, for promise requests, queries and announcements.
 *
 * Links are opened on demand.  An address that a member reported itself overrides its address in the view,
 * until a newer view is read.  All functions must be called in the main context.
 */
#pragma once

#include "core/group/ledger-group.h"
#include "runtime/link.h"

typedef struct _QuinceLedgerMemberLinks QuinceLedgerMemberLinks;

/**
 * QuinceLedgerMemberLinksCallbacks:
 * @promise_received: a member promises to follow this replica
 * @lead_received: a member reports who leads
 * @change_ack_received: a member reports which membership changes it has acknowledged
 */
typedef struct
{
  void (*promise_received) (const QuinceLedgerPromise *promise, gpointer user_data);
  void (*lead_received) (const QuinceLedgerLead *lead, gpointer user_data);
  void (*change_ack_received) (const QuinceLedgerChangeAck *ack, gpointer user_data);
} QuinceLedgerMemberLinksCallbacks;

/* @group and @callbacks are borrowed and must outlive the links. */
QuinceLedgerMemberLinks *quince_ledger_member_links_new (const QuinceLedgerGroup *group,
                                                         const QuinceLedgerMemberLinksCallbacks *callbacks,
                                                         gpointer user_data);
/* Closes all links. */
void quince_ledger_member_links_free (QuinceLedgerMemberLinks *links);

/* Sends @message to @member, and opens a link if there is none. */
void quince_ledger_member_links_send (QuinceLedgerMemberLinks *links,
                                      const QuinceLedgerMember *member,
                                      const QuinceMessage *message);
/* Sets the address that @member reported.  Returns: whether it differs from the known address */
gboolean quince_ledger_member_links_set_address (QuinceLedgerMemberLinks *links,
                                                 const QuinceLedgerMember *member);
/* Forgets the reported addresses, so that those of the view are used again. */
void quince_ledger_member_links_clear_addresses (QuinceLedgerMemberLinks *links);
/* Closes the links that quince_member_link_is_expired() finds expired; the next message to the member opens a
 * new one.  Must be called several times a second. */
void quince_ledger_member_links_close_idle (QuinceLedgerMemberLinks *links);
