/*
 * suspect-notice.c: publishes this front's suspects under a key of the metadata store.
 */
#include "suspect-notice.h"

#include "meta/meta-presence.h"
#include "observer/observer.h"
#include "forward/suspect-list.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Maximum age of the suspects that the notice includes when it starts, us.  Their reports may be lost: the
 * leader counts as unreachable only 0.9 s after its last message. */
#define UNREPORTED_AGE_MAX_US (2 * G_USEC_PER_SEC)
/* Minimum time between two writes, us.  Combines the suspects of a worker that ended, up to some hundred,
 * into few writes.  Much longer than a call of the store, so that writes arrive in order. */
#define WRITE_INTERVAL_MIN_US (100 * 1000)

struct _QuinceSuspectNotice
{
  /* All fields belong to the main context. */
  const QuinceQuarantine *quarantine;
  char *key;
  GArray *digests; /* QuinceRequestDigest, most recent first */
  QuinceMetaStore *store;
  guint ttl_ms;
  QuinceMetaPresence *presence; /* NULL if the key is not in the store */
  gint64 last_write_us;         /* monotonic: last write */
  QuinceTimer *timer;           /* next write; NULL if none is scheduled */
};

QuinceSuspectNotice *
quince_suspect_notice_new (const QuinceQuarantine *quarantine, const char *name)
{
  QuinceSuspectNotice *notice = g_new0 (QuinceSuspectNotice, 1);
  notice->quarantine = quarantine;
  notice->key = g_strconcat (QUINCE_SUSPECTS_PREFIX, name, NULL);
  notice->digests = g_array_new (FALSE, FALSE, sizeof (QuinceRequestDigest));
  return notice;
}

void
quince_suspect_notice_free (QuinceSuspectNotice *notice)
{
  if (notice == NULL)
    return;
  quince_timer_clear (&notice->timer);
  quince_meta_presence_free (notice->presence);
  g_array_unref (notice->digests);
  g_free (notice->key);
  g_free (notice);
}

void
quince_suspect_notice_set_store (QuinceSuspectNotice *notice, QuinceMetaStore *store, guint ttl_ms)
{
  g_clear_pointer (&notice->presence, quince_meta_presence_free);
  notice->store = store;
  notice->ttl_ms = ttl_ms;
}

/* Returns: (transfer container) (element-type QuinceSuspect): the listed suspects that are still in the
 * quarantine; answered ones have left it */
static GPtrArray *
list_suspects (const QuinceSuspectNotice *notice)
{
  GPtrArray *suspects = g_ptr_array_new ();
  for (guint i = 0; i < notice->digests->len; i++)
    {
      const QuinceSuspect *suspect = quince_quarantine_find (
          notice->quarantine, &g_array_index (notice->digests, QuinceRequestDigest, i));
      if (suspect != NULL)
        g_ptr_array_add (suspects, (gpointer)suspect);
    }
  return suspects;
}

static void
write_list (QuinceSuspectNotice *notice)
{
  quince_timer_clear (&notice->timer);
  notice->last_write_us = quince_now_us ();
  g_autoptr (GPtrArray) suspects = list_suspects (notice);
  g_autoptr (GBytes) value = quince_suspect_list_format (suspects, quince_now_us (), quince_wall_ms ());
  if (notice->presence != NULL)
    quince_meta_presence_update (notice->presence, value);
  else if (suspects->len > 0 && notice->store != NULL)
    notice->presence = quince_meta_presence_new (notice->store, notice->key, value, notice->ttl_ms);
}

static gboolean
write_timer_fired (gpointer data)
{
  write_list (data);
  return G_SOURCE_REMOVE;
}

static void
schedule_write (QuinceSuspectNotice *notice)
{
  gint64 wait_us = notice->last_write_us + WRITE_INTERVAL_MIN_US - quince_now_us ();
  if (wait_us <= 0)
    write_list (notice);
  else if (notice->timer == NULL)
    notice->timer = quince_timer_add ((guint)(wait_us / 1000) + 1, write_timer_fired, notice);
}

static void
add_digest (QuinceSuspectNotice *notice, const QuinceRequestDigest *digest)
{
  for (guint i = 0; i < notice->digests->len; i++)
    if (quince_request_digest_equal (&g_array_index (notice->digests, QuinceRequestDigest, i), digest))
      {
        g_array_remove_index (notice->digests, i);
        break;
      }
  g_array_prepend_vals (notice->digests, digest, 1);
  if (notice->digests->len > QUINCE_SUSPECT_LIST_MAX)
    g_array_set_size (notice->digests, QUINCE_SUSPECT_LIST_MAX);
}

void
quince_suspect_notice_record_change (QuinceSuspectNotice *notice, const QuinceRequestDigest *digest)
{
  add_digest (notice, digest);
  schedule_write (notice);
}

void
quince_suspect_notice_start (QuinceSuspectNotice *notice, gint64 now_us)
{
  g_autoptr (GPtrArray) all = quince_quarantine_list (notice->quarantine);
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceSuspect *suspect = all->pdata[i];
      if (suspect->reported_by == NULL && now_us - suspect->ended_us < UNREPORTED_AGE_MAX_US)
        add_digest (notice, &suspect->digest);
    }
  if (notice->digests->len > 0)
    schedule_write (notice);
}

void
quince_suspect_notice_withdraw (QuinceSuspectNotice *notice)
{
  g_array_set_size (notice->digests, 0);
  quince_timer_clear (&notice->timer);
  if (notice->presence == NULL)
    return;
  quince_meta_presence_withdraw (notice->presence);
  g_clear_pointer (&notice->presence, quince_meta_presence_free);
}
