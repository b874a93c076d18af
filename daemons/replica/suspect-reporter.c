/*
 * suspect-reporter.c: sends the leader's suspects to the other processes.
 */
#include "suspect-reporter.h"

#include "forward/suspect-message.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Delay after which the collected changes are sent to all processes in one message, ms.  Limits the number of
 * messages when many requests lose their workers at the same time; shorter than a typical lookup.  When 400
 * requests lose their workers at the same time, one message per request to each of 250 fronts would be
 * 100,000 messages. */
#define REPORT_DELAY_MS 10
/* The same delay for the successor, ms.  With 0, changes are sent in the next main loop iteration. */
#define SUCCESSOR_REPORT_DELAY_MS 0

/* Changes to send, either to all processes or to the successor. */
typedef struct
{
  QuinceSuspectReporter *reporter;
  GHashTable *digests; /* set of QuinceRequestDigest, owned */
  QuinceTimer *timer;  /* NULL: the queue is empty */
  guint delay_ms;      /* time from the first change to the message */
  void (*send) (QuinceSuspectReporter *reporter, GBytes *encoded);
} ChangeQueue;

struct _QuinceSuspectReporter
{
  /* All fields belong to the main context. */
  const QuinceQuarantine *quarantine;
  char *name;
  QuinceLedgerNode *ledger;   /* not owned; NULL: not set yet */
  GHashTable *links;          /* set of QuinceLink, not owned; NULL: not leading */
  guint64 informed_successor; /* serial of the successor link on which all suspects were sent; 0: none */
  ChangeQueue all_queue;
  ChangeQueue successor_queue;
};

/* ---- Receivers ------------------------------------------------------------ */

static void
send_to_all (QuinceSuspectReporter *reporter, GBytes *encoded)
{
  if (reporter->links == NULL || encoded == NULL)
    return;
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, reporter->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_send_bytes (link, encoded);
}

/* Returns (transfer none) (nullable): the link to the successor, or NULL if there is none */
static QuinceLink *
find_successor (const QuinceSuspectReporter *reporter)
{
  return reporter->ledger != NULL ? quince_ledger_node_get_successor_link (reporter->ledger) : NULL;
}

static void
send_to_successor (QuinceSuspectReporter *reporter, GBytes *encoded)
{
  QuinceLink *successor = find_successor (reporter);
  if (successor != NULL && encoded != NULL)
    quince_link_send_bytes (successor, encoded);
}

/* Returns (transfer full) (nullable): a message with @suspects (element-type QuinceSuspect), or NULL if there
 * are none */
static GBytes *
encode_suspects (const QuinceSuspectReporter *reporter, const GPtrArray *suspects)
{
  return suspects->len > 0 ? quince_suspect_reports_encode (suspects, quince_now_us (), reporter->name)
                           : NULL;
}

/* ---- Queues ---------------------------------------------------------------- */

static void
queue_init (ChangeQueue *queue,
            QuinceSuspectReporter *reporter,
            guint delay_ms,
            void (*send) (QuinceSuspectReporter *reporter, GBytes *encoded))
{
  queue->reporter = reporter;
  queue->delay_ms = delay_ms;
  queue->send = send;
  queue->digests
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
}

static void
queue_reset (ChangeQueue *queue)
{
  quince_timer_clear (&queue->timer);
  g_hash_table_remove_all (queue->digests);
}

static void
queue_clear (ChangeQueue *queue)
{
  quince_timer_clear (&queue->timer);
  g_hash_table_unref (queue->digests);
}

/* Returns (transfer container) (element-type QuinceSuspect): the queued suspects that are still in the
 * quarantine */
static GPtrArray *
queue_list_suspects (const ChangeQueue *queue)
{
  GPtrArray *suspects = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer digest;
  g_hash_table_iter_init (&iter, queue->digests);
  while (g_hash_table_iter_next (&iter, &digest, NULL))
    {
      const QuinceSuspect *suspect = quince_quarantine_find (queue->reporter->quarantine, digest);
      if (suspect != NULL)
        g_ptr_array_add (suspects, (gpointer)suspect);
    }
  return suspects;
}

static gboolean
queue_flush (gpointer data)
{
  ChangeQueue *queue = data;
  g_autoptr (GPtrArray) suspects = queue_list_suspects (queue);
  queue_reset (queue);
  g_autoptr (GBytes) encoded = encode_suspects (queue->reporter, suspects);
  queue->send (queue->reporter, encoded);
  return G_SOURCE_REMOVE;
}

static void
queue_add (ChangeQueue *queue, const QuinceRequestDigest *digest)
{
  if (!quince_suspect_reporter_is_active (queue->reporter))
    return;
  g_hash_table_add (queue->digests, g_memdup2 (digest, sizeof *digest));
  if (queue->timer == NULL)
    queue->timer = quince_timer_add (queue->delay_ms, queue_flush, queue);
}

/* ---- Reports ----------------------------------------------------------------- */

void
quince_suspect_reporter_queue_change (QuinceSuspectReporter *reporter, const QuinceRequestDigest *digest)
{
  queue_add (&reporter->all_queue, digest);
}

void
quince_suspect_reporter_queue_change_for_successor (QuinceSuspectReporter *reporter,
                                                    const QuinceRequestDigest *digest)
{
  queue_add (&reporter->successor_queue, digest);
}

void
quince_suspect_reporter_send_cleared (QuinceSuspectReporter *reporter,
                                      const QuinceRequestDigest *digest,
                                      QuinceSuspectScope scope)
{
  g_autoptr (GBytes) encoded = quince_suspect_cleared_encode (digest, scope);
  send_to_all (reporter, encoded);
}

void
quince_suspect_reporter_send_cleared_to_successor (QuinceSuspectReporter *reporter,
                                                   const QuinceRequestDigest *digest,
                                                   QuinceSuspectScope scope)
{
  if (find_successor (reporter) == NULL)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_cleared_encode (digest, scope);
  send_to_successor (reporter, encoded);
}

void
quince_suspect_reporter_send_expected_end (QuinceSuspectReporter *reporter, const QuinceSuspect *expected)
{
  if (find_successor (reporter) == NULL)
    return;
  g_autoptr (GBytes) encoded = quince_suspect_sending_encode (expected, quince_now_us (), reporter->name);
  send_to_successor (reporter, encoded);
}

void
quince_suspect_reporter_send_all (QuinceSuspectReporter *reporter)
{
  g_autoptr (GPtrArray) suspects = quince_quarantine_list (reporter->quarantine);
  g_autoptr (GBytes) encoded = encode_suspects (reporter, suspects);
  send_to_all (reporter, encoded);
}

void
quince_suspect_reporter_send_all_to (QuinceSuspectReporter *reporter, QuinceLink *link)
{
  if (!quince_suspect_reporter_is_active (reporter))
    return;
  g_autoptr (GPtrArray) suspects = quince_quarantine_list (reporter->quarantine);
  g_autoptr (GBytes) encoded = encode_suspects (reporter, suspects);
  if (encoded != NULL)
    quince_link_send_bytes (link, encoded);
}

/* Sends all suspects to a new successor.  Unlike other processes, the successor needs the suspects with a
 * single end too. */
void
quince_suspect_reporter_step (QuinceSuspectReporter *reporter, const GPtrArray *suspects)
{
  guint64 successor
      = reporter->ledger != NULL ? quince_ledger_node_get_successor_serial (reporter->ledger) : 0;
  if (successor == reporter->informed_successor)
    return;
  reporter->informed_successor = successor;
  g_autoptr (GBytes) encoded = encode_suspects (reporter, suspects);
  send_to_successor (reporter, encoded);
}

/* ---- Construction -------------------------------------------------------------- */

QuinceSuspectReporter *
quince_suspect_reporter_new (const QuinceQuarantine *quarantine, const char *name)
{
  QuinceSuspectReporter *reporter = g_new0 (QuinceSuspectReporter, 1);
  reporter->quarantine = quarantine;
  reporter->name = g_strdup (name);
  queue_init (&reporter->all_queue, reporter, REPORT_DELAY_MS, send_to_all);
  queue_init (&reporter->successor_queue, reporter, SUCCESSOR_REPORT_DELAY_MS, send_to_successor);
  return reporter;
}

void
quince_suspect_reporter_free (QuinceSuspectReporter *reporter)
{
  queue_clear (&reporter->all_queue);
  queue_clear (&reporter->successor_queue);
  g_free (reporter->name);
  g_free (reporter);
}

void
quince_suspect_reporter_set_ledger (QuinceSuspectReporter *reporter, QuinceLedgerNode *ledger)
{
  reporter->ledger = ledger;
}

void
quince_suspect_reporter_set_links (QuinceSuspectReporter *reporter, GHashTable *links)
{
  reporter->links = links;
  if (links != NULL)
    {
      reporter->informed_successor = 0;
      return;
    }
  queue_reset (&reporter->all_queue);
  queue_reset (&reporter->successor_queue);
}

gboolean
quince_suspect_reporter_is_active (const QuinceSuspectReporter *reporter)
{
  return reporter->links != NULL;
}
