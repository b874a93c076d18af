/*
 * meta-presence.c: one key under a lease that this process renews.
 */
#include "runtime/log.h"
#include "runtime/timer.h"

#include "meta/meta-presence.h"

/* Renewals within the time to live of the lease.  The rest of the time allows for retries before the lease
 * expires. */
#define RENEWALS_PER_TTL 2
/* Delay after a failed call while other calls succeed, ms; allows several retries within a lease of a few
 * seconds. */
#define RETRY_DELAY_MS 300
/* Delay after a failed call while all calls to the store fail, ms; longer, since every process renews a lease
 * and failed calls count towards the limit of the store too. */
#define OUTAGE_RETRY_DELAY_MS 1000

struct _QuinceMetaPresence
{
  /* All fields belong to the context that created the presence. */
  grefcount ref_count; /* one of the owner and one of each call in progress */
  QuinceMetaStore *store;
  char *key;
  GBytes *value;
  guint ttl_ms;
  guint64 lease; /* 0: none */
  QuinceTimer *lease_timer;
  gboolean withdrawn;
};

static void open_lease (QuinceMetaPresence *presence);
static void write_key (QuinceMetaPresence *presence);

static void
presence_unref (QuinceMetaPresence *presence)
{
  if (!g_ref_count_dec (&presence->ref_count))
    return;
  g_bytes_unref (presence->value);
  g_free (presence->key);
  g_free (presence);
}

static QuinceMetaPresence *
presence_ref (QuinceMetaPresence *presence)
{
  g_ref_count_inc (&presence->ref_count);
  return presence;
}

static gboolean renew_or_reopen_lease (gpointer data);

static guint
get_retry_delay_ms (const QuinceMetaPresence *presence)
{
  return quince_meta_store_is_failing (presence->store) ? OUTAGE_RETRY_DELAY_MS : RETRY_DELAY_MS;
}

static void
schedule_lease_call (QuinceMetaPresence *presence, guint wait_ms)
{
  quince_timer_clear (&presence->lease_timer);
  if (!presence->withdrawn)
    presence->lease_timer = quince_timer_add (wait_ms, renew_or_reopen_lease, presence);
}

static void
handle_renewal_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceMetaPresence *presence = data;
  if (g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_GONE))
    {
      quince_log_warning ("lease_lost", "key=%s", presence->key);
      presence->lease = 0;
    }
  schedule_lease_call (presence,
                       error != NULL ? get_retry_delay_ms (presence) : presence->ttl_ms / RENEWALS_PER_TTL);
  presence_unref (presence);
}

static gboolean
renew_or_reopen_lease (gpointer data)
{
  QuinceMetaPresence *presence = data;
  quince_timer_clear (&presence->lease_timer);
  if (presence->lease == 0)
    open_lease (presence);
  else
    quince_meta_store_renew_lease (presence->store, presence->lease, handle_renewal_reply,
                                   presence_ref (presence));
  return G_SOURCE_REMOVE;
}

static void
handle_write_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceMetaPresence *presence = data;
  if (error != NULL)
    presence->lease = 0;
  schedule_lease_call (presence,
                       error != NULL ? get_retry_delay_ms (presence) : presence->ttl_ms / RENEWALS_PER_TTL);
  presence_unref (presence);
}

static void
write_key (QuinceMetaPresence *presence)
{
  const QuinceMetaChange change
      = { .key = presence->key, .expected_revision = -1, .value = presence->value, .lease = presence->lease };
  quince_meta_store_change (presence->store, &change, 1, handle_write_reply, presence_ref (presence));
}

static void
handle_lease_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceMetaPresence *presence = data;
  presence->lease = error == NULL ? number : 0;
  if (presence->withdrawn)
    ; /* the lease expires without renewals */
  else if (presence->lease == 0)
    schedule_lease_call (presence, get_retry_delay_ms (presence));
  else
    write_key (presence);
  presence_unref (presence);
}

static void
open_lease (QuinceMetaPresence *presence)
{
  quince_meta_store_open_lease (presence->store, presence->ttl_ms, handle_lease_reply,
                                presence_ref (presence));
}

QuinceMetaPresence *
quince_meta_presence_new (QuinceMetaStore *store, const char *key, GBytes *value, guint ttl_ms)
{
  QuinceMetaPresence *presence = g_new0 (QuinceMetaPresence, 1);
  g_ref_count_init (&presence->ref_count);
  presence->store = store;
  presence->key = g_strdup (key);
  presence->value = g_bytes_ref (value);
  presence->ttl_ms = ttl_ms;
  open_lease (presence);
  return presence;
}

void
quince_meta_presence_update (QuinceMetaPresence *presence, GBytes *value)
{
  g_bytes_unref (presence->value);
  presence->value = g_bytes_ref (value);
  if (presence->lease != 0 && !presence->withdrawn)
    write_key (presence);
}

static void
handle_lease_end_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  presence_unref (data);
}

void
quince_meta_presence_handle_resume (QuinceMetaPresence *presence)
{
  /* If there is no timer, a call is in progress, and its reply schedules the next one. */
  if (presence->lease_timer != NULL)
    schedule_lease_call (presence, 0);
}

void
quince_meta_presence_withdraw (QuinceMetaPresence *presence)
{
  if (presence->withdrawn)
    return;
  presence->withdrawn = TRUE;
  quince_timer_clear (&presence->lease_timer);
  if (presence->lease != 0)
    quince_meta_store_end_lease (presence->store, presence->lease, handle_lease_end_reply,
                                 presence_ref (presence));
}

void
quince_meta_presence_free (QuinceMetaPresence *presence)
{
  if (presence == NULL)
    return;
  presence->withdrawn = TRUE;
  quince_timer_clear (&presence->lease_timer);
  presence_unref (presence);
}
