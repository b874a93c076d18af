/*
 * ledger-caller.h: a front's link to the ledger's leader, and the calls about batches on that link.
 *
 * Owns the link, which it reopens after it closes, the calls in flight with their timers, and the search for
 * a leader (leader-search.h).  The owner passes it the ledger views from the metadata store.  Messages that
 * are not replies to calls go to the owner.
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
  QUINCE_LEDGER_CALL_NOT_SENT,  /* the call was not executed */
  QUINCE_LEDGER_CALL_NO_MEMORY, /* a reply arrived that this process has no memory for */
  QUINCE_LEDGER_CALL_LOST,      /* sent, but no reply arrived: the call may have been executed */
} QuinceLedgerCallOutcome;

/* @reply: (nullable): the reply if @outcome is QUINCE_LEDGER_CALL_ANSWERED, otherwise %NULL; valid until the
 * callback returns, which may take its body */
typedef void (*QuinceLedgerCallDone) (QuinceLedgerCallOutcome outcome,
                                      QuinceServiceReply *reply,
                                      gpointer user_data);

/**
 * QuinceLedgerCallerCallbacks:
 * @linked: a link to the leader opened
 * @message: a message arrived on the link that is not a reply to a call
 * @unlinked: the link closed or could not be opened, or it was closed after a suspension of the process; not
 *   called when the link is replaced by one to a new leader
 */
typedef struct
{
  void (*linked) (QuinceLink *link, gpointer user_data);
  void (*message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*unlinked) (gpointer user_data);
} QuinceLedgerCallerCallbacks;

/* @memory: (transfer none): accounts for large replies; must outlive the caller */
QuinceLedgerCaller *quince_ledger_caller_new (QuinceMemoryAccount *memory,
                                              const QuinceLedgerCallerCallbacks *callbacks,
                                              gpointer user_data);
void quince_ledger_caller_free (QuinceLedgerCaller *caller);
/* Sets the ledger view, and opens a link to its leader if that has changed.  A view without a leader among
 * its members, or with an epoch lower than the current one, is ignored.  @view: copied */
void quince_ledger_caller_set_view (QuinceLedgerCaller *caller, const QuinceLedgerView *view);
/* Returns: (transfer none) (nullable): the last view that was accepted, or %NULL if there is none yet */
const QuinceLedgerView *quince_ledger_caller_get_view (const QuinceLedgerCaller *caller);
/* Reopens the link after a suspension of the process, because the leader may have closed it meanwhile.  Calls
 * in flight end with QUINCE_LEDGER_CALL_LOST. */
void quince_ledger_caller_handle_resume (QuinceLedgerCaller *caller);
gboolean quince_ledger_caller_is_linked (const QuinceLedgerCaller *caller);

/**
 * quince_ledger_caller_start:
 * @method, @target, @headers: of the caller's HTTP request; not used after the function returns
 * @body: of the caller's HTTP request; referred to until it is sent
 * @timeout_ms: maximum time from sending the call to the reply
 * @done: called once, after the function has returned
 *
 * Sends a call to the leader.  Without an open link, or while earlier calls fill it, the call ends with
 * QUINCE_LEDGER_CALL_NOT_SENT.
 *
 * Returns: (transfer none): the call, valid until @done is called or quince_ledger_call_cancel()
 */
QuinceLedgerCallHandle *quince_ledger_caller_start (QuinceLedgerCaller *caller,
                                                    const char *method,
                                                    const char *target,
                                                    const QuinceHttpHeaders *headers,
                                                    GBytes *body,
                                                    guint timeout_ms,
                                                    QuinceLedgerCallDone done,
                                                    gpointer user_data);
/* Cancels the call; its callback is not called.  The leader may still execute it. */
void quince_ledger_call_cancel (QuinceLedgerCallHandle *call);
