/*
 * ledger-caller.h: a front's link to the ledger's leader, and the calls about batches on it.
 *
 * Owns the link, which it opens again whenever it closes, the calls in progress with their timers, and the
 * search for a leader (leader-search.h).  Relies on its owner to pass it the views of the ledger that the
 * metadata store holds, and passes on all messages that are no replies.
 */
#pragma once

#include "protocol/codec.h"
#include "http1/http1.h"
#include "runtime/link.h"

typedef struct _QuinceLedgerCaller QuinceLedgerCaller;
typedef struct _QuinceLedgerCall QuinceLedgerCallHandle;

typedef enum
{
  QUINCE_LEDGER_CALL_ANSWERED,
  QUINCE_LEDGER_CALL_NOT_SENT, /* it can't have been carried out */
  QUINCE_LEDGER_CALL_LOST,     /* sent without a reply: it may have been carried out */
} QuinceLedgerCallOutcome;

/* @reply: (nullable): set for ANSWERED only; valid until the return */
typedef void (*QuinceLedgerCallDone) (QuinceLedgerCallOutcome outcome,
                                      const QuinceServiceReply *reply,
                                      gpointer user_data);

/* @linked: a link to the leader is open; @message: a message arrived on it that is no reply; @unlinked: it
 * closed, or is dropped since the process was suspended */
typedef struct
{
  void (*linked) (QuinceLink *link, gpointer user_data);
  void (*message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*unlinked) (gpointer user_data);
} QuinceLedgerCallerCallbacks;

QuinceLedgerCaller *quince_ledger_caller_new (const QuinceLedgerCallerCallbacks *callbacks,
                                              gpointer user_data);
void quince_ledger_caller_free (QuinceLedgerCaller *caller);
/* The ledger's view has changed.  Ignored where it names no leader among its members, or has a lower epoch
 * than the one known; @view is copied. */
void quince_ledger_caller_set_view (QuinceLedgerCaller *caller, const QuinceLedgerView *view);
/* Returns: (transfer none) (nullable): the last view that was taken; %NULL: none yet */
const QuinceLedgerView *quince_ledger_caller_get_view (const QuinceLedgerCaller *caller);
/* The process was suspended: the leader may have closed the link without a sign of it here, so it is opened
 * anew. Calls in progress end as LOST. */
void quince_ledger_caller_handle_resume (QuinceLedgerCaller *caller);
gboolean quince_ledger_caller_is_linked (const QuinceLedgerCaller *caller);

/**
 * quince_ledger_caller_start: sends a call to the leader; without a link it ends as NOT_SENT
 * @method, @target, @headers, @body: of the caller's HTTP request; valid during the call
 * @timeout_ms: from the send to the reply
 * @done: called once, never before this returns
 *
 * Returns: (transfer none): the call, valid until done() or quince_ledger_call_cancel()
 */
QuinceLedgerCallHandle *quince_ledger_caller_start (QuinceLedgerCaller *caller,
                                                    const char *method,
                                                    const char *target,
                                                    const QuinceHttpHeaders *headers,
                                                    const GByteArray *body,
                                                    guint timeout_ms,
                                                    QuinceLedgerCallDone done,
                                                    gpointer user_data);
/* Ends the call without done(); the leader may still carry it out. */
void quince_ledger_call_cancel (QuinceLedgerCallHandle *call);
