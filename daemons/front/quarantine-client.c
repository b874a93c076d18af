/*
 * quarantine-client.c: client of the quarantine on the ledger's leader.
 */
#include "quarantine-client.h"

#include <string.h>

#include "forward/suspect-entry.h"
#include "forward/suspect-list.h"
#include "forward/suspect-message.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "suspect-notice.h"

/* Time without a message after which the leader counts as unreachable, ms, even if the link is open: a
 * network partition closes no connection.  Three heartbeat intervals of 250 ms and a margin, as in
 * observer-feed.c. */
#define LEADER_TIMEOUT_MS 900

struct _QuinceQuarantineClient
{
  /* All fields belong to the main context. */
  QuinceSendGuard *guard;
  char *name;
  QuinceLink *link;           /* owned (nullable): to the leader */
  gint64 last_contact_us;     /* monotonic: last message from the leader */
  QuinceTimer *contact_timer; /* (nullable): checks whether the leader is reachable after a report to it */
  QuinceSuspectNotice *notice;
  gboolean notice_active; /* the notice was started, or the leader has not received all suspects */
};

static gboolean
is_linked (const QuinceQuarantineClient *client)
{
  return client->link != NULL && quince_link_is_connected (client->link);
}

static gboolean
is_leader_reachable (const QuinceQuarantineClient *client)
{
  return is_linked (client) && quince_now_us () - client->last_contact_us < LEADER_TIMEOUT_MS * 1000;
}

static void
send_encoded (QuinceQuarantineClient *client, GBytes *encoded)
{
  if (encoded != NULL && is_linked (client))
    quince_link_send_bytes (client->link, encoded);
}

/* ---- Permit requests of the send guard ----------------------------------- */

static gboolean
request_permit (const QuinceRequestDigest *digest, const char *service, gboolean alone, gpointer data)
{
  QuinceQuarantineClient *client = data;
  if (!is_leader_reachable (client))
    return FALSE;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PERMIT_ASK };
  QuincePermitAsk *wire = &message.QuinceMessage_u.permit_ask;
  memcpy (wire->digest, digest->bytes, sizeof wire->digest);
  wire->service = (char *)service;
  wire->alone = alone;
  quince_link_send (client->link, &message);
  return TRUE;
}

static void
return_permit (const QuinceRequestDigest *digest, gpointer data)
{
  QuinceQuarantineClient *client = data;
  if (!is_linked (client))
    return; /* the leader reclaims the permit when the link closes */
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PERMIT_BACK };
  memcpy (message.QuinceMessage_u.permit_back.digest, digest->bytes, sizeof digest->bytes);
  quince_link_send (client->link, &message);
}

/* ---- Notice while no leader is reachable --------------------------------- */

static void
start_notice (QuinceQuarantineClient *client)
{
  if (client->notice_active)
    return;
  client->notice_active = TRUE;
  quince_suspect_notice_start (client->notice, quince_now_us ());
}

static gboolean
check_leader_contact (gpointer data)
{
  QuinceQuarantineClient *client = data;
  quince_timer_clear (&client->contact_timer);
  if (!is_leader_reachable (client))
    start_notice (client);
  return G_SOURCE_REMOVE;
}

/* Records that this front changed the suspect @digest.  If no leader is reachable, the change goes into the
 * notice; otherwise a timer checks that the leader, which gets a report, is still reachable. */
static void
record_change (QuinceQuarantineClient *client, const QuinceRequestDigest *digest)
{
  if (is_leader_reachable (client))
    {
      if (client->contact_timer == NULL)
        client->contact_timer = quince_timer_add (LEADER_TIMEOUT_MS, check_leader_contact, client);
      return;
    }
  start_notice (client);
  quince_suspect_notice_record_change (client->notice, digest);
}

static void
report_all (QuinceQuarantineClient *client)
{
  g_autoptr (GPtrArray) all = quince_quarantine_list (quince_send_guard_get_quarantine (client->guard));
  if (all->len == 0)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_reports_encode (all, quince_now_us (), client->name);
  send_encoded (client, encoded);
}

/* Records a message from the leader.  If the notice was started, reports all suspects to the leader and
 * withdraws the notice. */
static void
record_contact (QuinceQuarantineClient *client)
{
  client->last_contact_us = quince_now_us ();
  if (!client->notice_active)
    return;
  client->notice_active = FALSE;
  report_all (client);
  quince_suspect_notice_withdraw (client->notice);
}

/* ---- Reports of the send guard ----------------------------------------------- */

static void
update_log_end (const QuinceSuspect *suspect, gpointer data)
{
  QuinceQuarantineClient *client = data;
  record_change (client, &suspect->digest);
  g_autoptr (GPtrArray) one = g_ptr_array_new ();
  g_ptr_array_add (one, (gpointer)suspect);
  g_autoptr (GBytes) encoded = quince_suspect_reports_encode (one, quince_now_us (), client->name);
  send_encoded (client, encoded);
}

static void
report_cleared (const QuinceRequestDigest *digest, QuinceSuspectScope scope, guint ends, gpointer data)
{
  QuinceQuarantineClient *client = data;
  record_change (client, digest);
  g_autoptr (GBytes) encoded = quince_suspect_cleared_encode (digest, scope);
  send_encoded (client, encoded);
}

static const QuinceSendGuardCallbacks guard_callbacks = { .request_permit = request_permit,
                                                          .return_permit = return_permit,
                                                          .ended = update_log_end,
                                                          .cleared = report_cleared };

/* ---- Creation and messages --------------------------------------------------- */

QuinceQuarantineClient *
quince_quarantine_client_new (const QuinceQuarantineLimits *limits, const char *name)
{
  QuinceQuarantineClient *client = g_new0 (QuinceQuarantineClient, 1);
  client->name = g_strdup (name);
  client->guard = quince_send_guard_new (limits, &guard_callbacks, client);
  client->notice = quince_suspect_notice_new (quince_send_guard_get_quarantine (client->guard), name);
  return client;
}

void
quince_quarantine_client_free (QuinceQuarantineClient *client)
{
  if (client == NULL)
    return;
  g_clear_pointer (&client->link, quince_link_unref);
  quince_timer_clear (&client->contact_timer);
  quince_suspect_notice_free (client->notice);
  quince_send_guard_free (client->guard);
  g_free (client->name);
  g_free (client);
}

void
quince_quarantine_client_set_store (QuinceQuarantineClient *client, QuinceMetaStore *store, guint ttl_ms)
{
  quince_suspect_notice_set_store (client->notice, store, ttl_ms);
}

QuinceSendGuard *
quince_quarantine_client_get_guard (QuinceQuarantineClient *client)
{
  return client->guard;
}

void
quince_quarantine_client_linked (QuinceQuarantineClient *client, QuinceLink *leader)
{
  g_clear_pointer (&client->link, quince_link_unref);
  quince_send_guard_drop_permit_requests (client->guard);
  client->link = quince_link_ref (leader);
  client->notice_active = TRUE;
  record_contact (client);
}

void
quince_quarantine_client_unlinked (QuinceQuarantineClient *client)
{
  g_clear_pointer (&client->link, quince_link_unref);
  quince_send_guard_drop_permit_requests (client->guard);
  start_notice (client);
}

static void
forward_reports (QuinceQuarantineClient *client, gint64 now_us, const GArray *changed)
{
  for (guint i = 0; i < changed->len; i++)
    quince_send_guard_handle_report (client->guard, now_us, &g_array_index (changed, QuinceRequestDigest, i));
}

gboolean
quince_quarantine_client_handle_message (QuinceQuarantineClient *client, const QuinceMessage *message)
{
  record_contact (client);
  if (message->kind == QUINCE_MESSAGE_PERMIT_ANSWER)
    {
      const QuincePermitAnswer *answer = &message->QuinceMessage_u.permit_answer;
      QuinceRequestDigest digest;
      memcpy (digest.bytes, answer->digest, sizeof digest.bytes);
      quince_send_guard_handle_permit_answer (client->guard, &digest, answer->given);
      return TRUE;
    }
  if (message->kind != QUINCE_MESSAGE_SUSPECT_NEWS)
    return FALSE;
  gint64 now = quince_now_us ();
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  g_autoptr (GArray) cleared_suspects = g_array_new (FALSE, FALSE, sizeof (QuinceSuspectCleared));
  quince_suspect_reports_apply (quince_send_guard_get_quarantine (client->guard), now,
                                &message->QuinceMessage_u.suspect_news, changed, cleared_suspects);
  forward_reports (client, now, changed);
  return TRUE;
}

void
quince_quarantine_client_merge_list (QuinceQuarantineClient *client, const char *front, GBytes *value)
{
  if (value == NULL || g_str_equal (front, client->name))
    return;
  gint64 now = quince_now_us ();
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  quince_suspect_list_merge (quince_send_guard_get_quarantine (client->guard), now, quince_wall_ms (), front,
                             value, changed);
  forward_reports (client, now, changed);
}

void
quince_quarantine_client_apply_entry (QuinceQuarantineClient *client, const char *name, GBytes *value)
{
  quince_suspect_entry_apply (quince_send_guard_get_quarantine (client->guard), quince_now_us (),
                              quince_wall_ms (), name, value);
}
