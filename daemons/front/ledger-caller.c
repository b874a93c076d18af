/*
 * ledger-caller.c: a front's link to the ledger's leader, and the calls about batches on that link.
 */
#include "ledger-caller.h"
#include "leader-search.h"

#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Delay before a closed link is reopened, ms.  Short compared with an election (about 1.2 s); limits the
 * connections to a restarting leader. */
#define RECONNECT_DELAY_MS 150
/* Timeout of a connection attempt, ms; then a new one starts.  Allows one retransmission of a lost SYN, which
 * follows after 1 s. */
#define CONNECT_TIMEOUT_MS 1200
/* Assumed size of a call without its body, bytes: as large as a request's head may be. */
#define CALL_HEAD_MAX_BYTES (64 * 1024)
/* Status of a reply from a leader that has no quorum or has not read its log yet. */
#define HTTP_STATUS_SERVICE_UNAVAILABLE 503

struct _QuinceLedgerCaller
{
  /* All fields belong to the main context. */
  QuinceMemoryAccount *memory; /* borrowed */
  QuinceLink *link;            /* owned; NULL between two connection attempts */
  char *address;               /* of the leader; NULL if unknown */
  gboolean loss_logged;        /* the loss of the link was logged; reset when a link opens */
  guint64 epoch;               /* of the leader */
  QuinceLedgerView *view;      /* NULL if unknown */
  QuinceLeaderSearch *search;
  QuinceTimer *timer; /* next connection attempt, or timeout of the current one */
  const QuinceLedgerCallerCallbacks *callbacks;
  gpointer user_data;
  GHashTable *calls; /* QuinceLedgerCallHandle by id, owned */
  guint64 next_id;
};

struct _QuinceLedgerCall
{
  QuinceLedgerCaller *caller;
  guint64 id;
  gboolean sent;
  guint timeout_deferrals; /* how often the timeout was deferred to read input first */
  QuinceTimer *timer;
  QuinceLedgerCallDone done;
  gpointer user_data;
};

static void open_leader_link (QuinceLedgerCaller *caller);

static void
call_free (gpointer data)
{
  QuinceLedgerCallHandle *call = data;
  quince_timer_clear (&call->timer);
  g_free (call);
}

static void
finish_call (QuinceLedgerCallHandle *call, QuinceLedgerCallOutcome outcome, QuinceServiceReply *reply)
{
  QuinceLedgerCallDone done = call->done;
  gpointer user_data = call->user_data;
  g_hash_table_remove (call->caller->calls, &call->id);
  done (outcome, reply, user_data);
}

void
quince_ledger_call_cancel (QuinceLedgerCallHandle *call)
{
  g_hash_table_remove (call->caller->calls, &call->id);
}

/* ---- Link --------------------------------------------------------------- */

static void
close_link (QuinceLedgerCaller *caller)
{
  quince_timer_clear (&caller->timer);
  if (caller->link == NULL)
    return;
  quince_link_close (caller->link);
  g_clear_pointer (&caller->link, quince_link_unref);
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, caller->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((QuinceLedgerCallHandle *)value)->sent)
      g_ptr_array_add (lost, value);
  for (guint i = 0; i < lost->len; i++)
    finish_call (lost->pdata[i], QUINCE_LEDGER_CALL_LOST, NULL);
}

static gboolean
reconnect_to_leader (gpointer data)
{
  QuinceLedgerCaller *caller = data;
  quince_timer_clear (&caller->timer);
  open_leader_link (caller);
  return G_SOURCE_REMOVE;
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerCaller *caller = data;
  if (!caller->loss_logged)
    quince_log_warning ("dependency_lost", "what=ledger_primary address=%s", caller->address);
  caller->loss_logged = TRUE;
  close_link (caller);
  caller->callbacks->unlinked (caller->user_data);
  caller->timer = quince_timer_add (RECONNECT_DELAY_MS, reconnect_to_leader, caller);
}

static gboolean
connect_timed_out (gpointer data)
{
  QuinceLedgerCaller *caller = data;
  quince_timer_clear (&caller->timer);
  close_link (caller);
  open_leader_link (caller);
  return G_SOURCE_REMOVE;
}

static void
link_connected (QuinceLink *link, gpointer data)
{
  QuinceLedgerCaller *caller = data;
  quince_timer_clear (&caller->timer);
  caller->loss_logged = FALSE;
  quince_log_info ("dependency_regained", "what=ledger_primary address=%s", caller->address);
  caller->callbacks->linked (link, caller->user_data);
}

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerCaller *caller = data;
  quince_leader_search_record_contact (caller->search);
  if (message->kind == QUINCE_MESSAGE_SERVICE_REPLY)
    {
      QuinceServiceReply *reply = &message->QuinceMessage_u.service_reply;
      guint64 id = reply->id;
      quince_leader_search_set_leader_available (caller->search,
                                                 reply->status != HTTP_STATUS_SERVICE_UNAVAILABLE);
      QuinceLedgerCallHandle *call = g_hash_table_lookup (caller->calls, &id);
      if (call != NULL)
        finish_call (call, QUINCE_LEDGER_CALL_ANSWERED, reply);
    }
  else
    caller->callbacks->message (link, message, caller->user_data);
  quince_message_free (message);
}

/* Makes room for a large reply, or ends the call that it answers. */
static gboolean
link_admit (QuinceLink *link,
            const guint8 *start,
            gsize available,
            gsize frame_bytes,
            QuinceMemoryHold **hold,
            gpointer data)
{
  QuinceLedgerCaller *caller = data;
  guint64 id;
  if (!quince_message_peek_service_reply (start, available, &id))
    return TRUE;
  *hold = quince_memory_hold_new (caller->memory, NULL, NULL);
  if (quince_memory_hold_reserve (*hold, frame_bytes, quince_now_us ()))
    return TRUE;
  g_clear_pointer (hold, quince_memory_hold_free);
  QuinceLedgerCallHandle *call = g_hash_table_lookup (caller->calls, &id);
  if (call != NULL)
    finish_call (call, QUINCE_LEDGER_CALL_NO_MEMORY, NULL);
  return FALSE;
}

static const QuinceLinkCallbacks link_callbacks
    = { .connected = link_connected, .message = link_message, .closed = link_closed, .admit = link_admit };

static void
open_leader_link (QuinceLedgerCaller *caller)
{
  if (caller->address == NULL || caller->link != NULL)
    return;
  caller->link = quince_link_connect (caller->address, &link_callbacks, caller);
  caller->timer = quince_timer_add (CONNECT_TIMEOUT_MS, connect_timed_out, caller);
}

/* ---- Creation and views ---------------------------------------------------- */

static void
handle_leader_found (const QuinceLedgerView *view, gpointer data)
{
  quince_ledger_caller_set_view (data, view);
}

QuinceLedgerCaller *
quince_ledger_caller_new (QuinceMemoryAccount *memory,
                          const QuinceLedgerCallerCallbacks *callbacks,
                          gpointer user_data)
{
  QuinceLedgerCaller *caller = g_new0 (QuinceLedgerCaller, 1);
  caller->memory = memory;
  caller->callbacks = callbacks;
  caller->search = quince_leader_search_new (handle_leader_found, caller);
  caller->user_data = user_data;
  caller->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  return caller;
}

void
quince_ledger_caller_free (QuinceLedgerCaller *caller)
{
  if (caller == NULL)
    return;
  close_link (caller);
  quince_leader_search_free (caller->search);
  g_hash_table_unref (caller->calls);
  g_clear_pointer (&caller->view, quince_ledger_view_free);
  g_free (caller->address);
  g_free (caller);
}

static const QuinceLedgerMember *
find_primary (const QuinceLedgerView *view)
{
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (view->members.members_val[i].replica == view->primary)
      return &view->members.members_val[i];
  return NULL;
}

void
quince_ledger_caller_set_view (QuinceLedgerCaller *caller, const QuinceLedgerView *view)
{
  const QuinceLedgerMember *primary = find_primary (view);
  /* After an outage, the store may hold an older view than the one that a member reported. */
  if (primary == NULL || view->epoch < caller->epoch)
    return;
  g_clear_pointer (&caller->view, quince_ledger_view_free);
  caller->view = quince_ledger_view_copy (view);
  quince_leader_search_set_view (caller->search, view);
  gboolean same_leader = caller->epoch == view->epoch && g_strcmp0 (caller->address, primary->address) == 0;
  caller->epoch = view->epoch;
  if (same_leader)
    return;
  quince_log_info ("ledger_primary", "node=%s address=%s epoch=%" G_GUINT64_FORMAT, primary->node,
                   primary->address, (guint64)view->epoch);
  close_link (caller);
  g_free (caller->address);
  caller->address = g_strdup (primary->address);
  open_leader_link (caller);
}

const QuinceLedgerView *
quince_ledger_caller_get_view (const QuinceLedgerCaller *caller)
{
  return caller->view;
}

void
quince_ledger_caller_handle_resume (QuinceLedgerCaller *caller)
{
  close_link (caller);
  caller->callbacks->unlinked (caller->user_data);
  open_leader_link (caller);
}

gboolean
quince_ledger_caller_is_linked (const QuinceLedgerCaller *caller)
{
  return caller->link != NULL && quince_link_is_connected (caller->link);
}

/* ---- Calls ----------------------------------------------------------------- */

/* Defers the timeout of a call while its reply may still be unread, as after a pause of this process.  The
 * first deferral is unconditional, because input is dispatched one main loop iteration after it was read.
 * Returns: %FALSE if the call has timed out */
static gboolean
defer_call_timeout (QuinceLedgerCallHandle *call)
{
  if (!call->sent || call->caller->link == NULL || call->timeout_deferrals >= QUINCE_TIMEOUT_DEFERRALS_MAX
      || (call->timeout_deferrals > 0 && !quince_link_has_input (call->caller->link)))
    return FALSE;
  call->timeout_deferrals++;
  return TRUE;
}

static gboolean
call_timed_out (gpointer data)
{
  QuinceLedgerCallHandle *call = data;
  if (defer_call_timeout (call))
    {
      quince_timer_clear (&call->timer);
      call->timer = quince_timer_add (QUINCE_TIMEOUT_DEFERRAL_MS, call_timed_out, call);
      return G_SOURCE_REMOVE;
    }
  /* Messages to the leader may be lost while its heartbeats arrive, and another member may lead by now. */
  if (call->sent)
    quince_leader_search_set_leader_available (call->caller->search, FALSE);
  finish_call (call, call->sent ? QUINCE_LEDGER_CALL_LOST : QUINCE_LEDGER_CALL_NOT_SENT, NULL);
  return G_SOURCE_REMOVE;
}

static void
send_call (QuinceLedgerCallHandle *call,
           const char *method,
           const char *target,
           const QuinceHttpHeaders *headers,
           GBytes *body)
{
  guint n_headers = quince_http_headers_get_length (headers);
  g_autofree QuinceTextPair *pairs = g_new0 (QuinceTextPair, n_headers + 1);
  for (guint i = 0; i < n_headers; i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (headers, i);
      pairs[i].name = line->name;
      pairs[i].value = line->value;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_SERVICE_CALL };
  QuinceServiceCall *wire = &message.QuinceMessage_u.service_call;
  wire->id = call->id;
  wire->method = (char *)method;
  wire->target = (char *)target;
  wire->headers.headers_val = pairs;
  wire->headers.headers_len = n_headers;
  quince_link_send_with_tail (call->caller->link, &message, body);
  call->sent = TRUE;
}

QuinceLedgerCallHandle *
quince_ledger_caller_start (QuinceLedgerCaller *caller,
                            const char *method,
                            const char *target,
                            const QuinceHttpHeaders *headers,
                            GBytes *body,
                            guint timeout_ms,
                            QuinceLedgerCallDone done,
                            gpointer user_data)
{
  QuinceLedgerCallHandle *call = g_new0 (QuinceLedgerCallHandle, 1);
  call->caller = caller;
  call->id = ++caller->next_id;
  call->done = done;
  call->user_data = user_data;
  g_hash_table_insert (caller->calls, &call->id, call);
  if (quince_ledger_caller_is_linked (caller)
      && quince_link_has_room (caller->link, g_bytes_get_size (body) + CALL_HEAD_MAX_BYTES))
    send_call (call, method, target, headers, body);
  /* A call that was not sent ends in the next iteration of the main loop. */
  call->timer = quince_timer_add (call->sent ? timeout_ms : 0, call_timed_out, call);
  return call;
}
