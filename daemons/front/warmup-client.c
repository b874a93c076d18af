/*
 * warmup-client.c: requests leases for sends to cold workers from the ledger's leader.
 */
#include "warmup-client.h"

#include "runtime/clock.h"
#include "runtime/timer.h"

/* Interval between removals of expired leases, ms.  Frees the leases of workers that no longer exist. */
#define LEASE_EXPIRE_INTERVAL_MS 5000

struct _QuinceWarmupClient
{
  /* All fields belong to the main context. */
  QuinceWarmupSends *sends;
  QuinceObserver *observer; /* not owned; NULL during startup */
  QuinceLink *link;         /* owned (nullable): to the leader */
  QuinceTimer *timer;
};

static const QuinceService *
find_service (const char *name, gpointer data)
{
  const QuinceWarmupClient *client = data;
  return client->observer != NULL ? quince_observer_find_service (client->observer, name) : NULL;
}

static gboolean
request_lease (guint64 request_id, const char *worker, guint sends, gpointer data)
{
  QuinceWarmupClient *client = data;
  if (client->link == NULL || !quince_link_is_connected (client->link))
    return FALSE;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_WARMUP_ASK };
  QuinceWarmupAsk *wire = &message.QuinceMessage_u.warmup_ask;
  wire->ask = request_id;
  wire->worker = (char *)worker;
  wire->sends = sends;
  quince_link_send (client->link, &message);
  return TRUE;
}

static const QuinceWarmupSendsCallbacks sends_callbacks
    = { .find_service = find_service, .request_lease = request_lease };

static gboolean
expire_leases (gpointer data)
{
  QuinceWarmupClient *client = data;
  quince_warmup_sends_expire (client->sends, quince_now_us ());
  return G_SOURCE_CONTINUE;
}

QuinceWarmupClient *
quince_warmup_client_new (const QuinceWarmupBounds *bounds)
{
  QuinceWarmupClient *client = g_new0 (QuinceWarmupClient, 1);
  client->sends = quince_warmup_sends_new (bounds, &sends_callbacks, client);
  client->timer = quince_timer_add (LEASE_EXPIRE_INTERVAL_MS, expire_leases, client);
  return client;
}

void
quince_warmup_client_free (QuinceWarmupClient *client)
{
  if (client == NULL)
    return;
  quince_timer_clear (&client->timer);
  g_clear_pointer (&client->link, quince_link_unref);
  quince_warmup_sends_free (client->sends);
  g_free (client);
}

void
quince_warmup_client_set_observer (QuinceWarmupClient *client, QuinceObserver *observer)
{
  client->observer = observer;
}

QuinceWarmupSends *
quince_warmup_client_get_sends (QuinceWarmupClient *client)
{
  return client->sends;
}

void
quince_warmup_client_linked (QuinceWarmupClient *client, QuinceLink *leader)
{
  quince_warmup_client_unlinked (client);
  client->link = quince_link_ref (leader);
}

void
quince_warmup_client_unlinked (QuinceWarmupClient *client)
{
  g_clear_pointer (&client->link, quince_link_unref);
  quince_warmup_sends_forget_requests (client->sends);
}

gboolean
quince_warmup_client_handle_message (QuinceWarmupClient *client, const QuinceMessage *message)
{
  if (message->kind != QUINCE_MESSAGE_WARMUP_GRANT)
    return FALSE;
  const QuinceWarmupGrant *grant = &message->QuinceMessage_u.warmup_grant;
  quince_warmup_sends_handle_answer (client->sends, grant->worker, grant->ask, grant->sends,
                                     (gint64)grant->valid_ms * 1000, (gint64)grant->again_ms * 1000);
  return TRUE;
}
