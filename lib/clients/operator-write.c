/*
 * operator-write.c: one compare-and-swap carried to a definite outcome; see
 * operator-write.h.
 */
#include "operator-write.h"

#include <string.h>

#include "clients/operator-store.h"

#include "kv-internal.h"

#define BACKOFF_MIN_MS 50
#define BACKOFF_GREATEST_MS 1000

/* Belongs to the context that started it; freed at its callback or cancel. */
struct _QuinceOperatorWrite
{
  QuinceKvClient *client; /* not owned */
  char *key;              /* owned */
  guint64 expected;
  char *value;        /* owned; NULL deletes */
  gboolean lost;      /* the answer of a copy was lost: it may take effect */
  gboolean in_flight; /* a swap is under way */
  gboolean expired;   /* the deadline passed */
  guint failures;     /* tries without an outcome */
  GRand *random;      /* owned; spreads the back-off */
  GSource *retry;     /* owned; NULL when none waits */
  GSource *deadline;  /* owned */
  GError *last_error; /* owned; of the last failed try */
  QuinceOperatorWriteCallback callback;
  gpointer user_data; /* not owned */
};

static void send_swap (QuinceOperatorWrite *write);
static void read_back (QuinceOperatorWrite *write);

static void
clear_source (GSource **source)
{
  if (*source != NULL)
    g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

void
quince_operator_write_cancel (QuinceOperatorWrite *write)
{
  quince_kv_client_cancel (write->client, write);
  clear_source (&write->retry);
  clear_source (&write->deadline);
  g_clear_error (&write->last_error);
  g_rand_free (write->random);
  g_free (write->key);
  g_free (write->value);
  g_free (write);
}

static void
finish (QuinceOperatorWrite *write, guint64 revision, const QuinceKvItem *current, const GError *error)
{
  write->callback (revision, current, write->lost, error, write->user_data);
  quince_operator_write_cancel (write);
}

static void
finish_conflict (QuinceOperatorWrite *write, const QuinceKvItem *current)
{
  g_autoptr (GError) error = NULL;
  if (current != NULL)
    g_set_error (&error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_CONFLICT,
                 "%s stands at revision %" G_GUINT64_FORMAT ", not at %" G_GUINT64_FORMAT, write->key,
                 current->mod_revision, write->expected);
  else
    g_set_error (&error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_CONFLICT,
                 "%s is not there, expected at revision %" G_GUINT64_FORMAT, write->key, write->expected);
  finish (write, 0, current, error);
}

/* ---- Retries and the deadline --------------------------------------------------- */

static void
finish_expired (QuinceOperatorWrite *write)
{
  const char *reason = write->last_error != NULL ? write->last_error->message : "no answer in time";
  g_autoptr (GError) error = NULL;
  if (write->lost)
    g_set_error (&error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_UNKNOWN,
                 "the write of %s may or may not take effect: %s", write->key, reason);
  else
    g_set_error (&error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_UNREACHABLE, "%s was not written: %s",
                 write->key, reason);
  finish (write, 0, NULL, error);
}

/* A swap under way is waited for, as it has its own bound and its end tells the outcome. */
static gboolean
on_deadline (gpointer user_data)
{
  QuinceOperatorWrite *write = user_data;
  write->expired = TRUE;
  if (!write->in_flight)
    finish_expired (write);
  return G_SOURCE_REMOVE;
}

static gboolean
on_retry (gpointer user_data)
{
  QuinceOperatorWrite *write = user_data;
  clear_source (&write->retry);
  if (write->lost)
    read_back (write);
  else
    send_swap (write);
  return G_SOURCE_REMOVE;
}

static GSource *
add_timer (guint delay_ms, GSourceFunc function, QuinceOperatorWrite *write)
{
  GSource *source = g_timeout_source_new (delay_ms);
  g_source_set_callback (source, function, write, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
  return source;
}

static void
retry_later (QuinceOperatorWrite *write, const GError *error)
{
  g_clear_error (&write->last_error);
  write->last_error = g_error_copy (error);
  if (write->expired)
    {
      finish_expired (write);
      return;
    }
  guint ceiling = MIN (BACKOFF_MIN_MS << MIN (write->failures, 5), BACKOFF_GREATEST_MS);
  write->failures++;
  guint delay_ms = g_rand_int_range (write->random, BACKOFF_MIN_MS / 2, ceiling + 1);
  write->retry = add_timer (delay_ms, on_retry, write);
}

/* ---- Outcomes --------------------------------------------------------------------- */

static gboolean
is_ours (const QuinceOperatorWrite *write, const QuinceKvItem *current)
{
  if (write->value == NULL || current == NULL)
    return write->value == NULL && current == NULL;
  gsize length = strlen (write->value);
  return length == current->length && memcmp (write->value, current->value, length) == 0;
}

/* @current is what stands at @revision; the swap did not find the expected revision, or we cannot know. */
static void
judge (QuinceOperatorWrite *write, const QuinceKvItem *current, guint64 revision)
{
  guint64 standing = current != NULL ? current->mod_revision : 0;
  if (is_ours (write, current))
    finish (write, current != NULL ? standing : revision, NULL, NULL);
  else if (standing == write->expected)
    send_swap (write);
  else
    finish_conflict (write, current);
}

/* The service called the request invalid: sending it again would not help. */
static void
finish_refused (QuinceOperatorWrite *write, const GError *cause)
{
  g_clear_error (&write->last_error);
  write->last_error = g_error_copy (cause);
  finish_expired (write);
}

static void
on_swap (gboolean done,
         guint64 revision,
         const QuinceKvItem *current,
         const GError *error,
         gpointer user_data)
{
  QuinceOperatorWrite *write = user_data;
  write->in_flight = FALSE;
  if (g_error_matches (error, QUINCE_KV_ERROR, QUINCE_KV_ERROR_UNKNOWN))
    write->lost = TRUE;
  if (g_error_matches (error, QUINCE_KV_ERROR, QUINCE_KV_ERROR_PROTOCOL))
    finish_refused (write, error);
  else if (error != NULL)
    retry_later (write, error);
  else if (done)
    finish (write, revision, NULL, NULL);
  else if (is_ours (write, current) || (current != NULL ? current->mod_revision : 0) != write->expected)
    judge (write, current, revision);
  else
    {
      g_autoptr (GError) nonsense
          = g_error_new_literal (QUINCE_KV_ERROR, QUINCE_KV_ERROR_PROTOCOL,
                                 "the service refused a compare that holds by its own answer");
      retry_later (write, nonsense);
    }
}

static void
on_read_back (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  QuinceOperatorWrite *write = user_data;
  if (error != NULL)
    retry_later (write, error);
  else
    judge (write, items->len > 0 ? items->pdata[0] : NULL, revision);
}

static void
read_back (QuinceOperatorWrite *write)
{
  quince_kv_client_get (write->client, write->key, FALSE, on_read_back, write);
}

static void
send_swap (QuinceOperatorWrite *write)
{
  write->in_flight = TRUE;
  if (write->value != NULL)
    quince_kv_client_swap (write->client, write->key, write->expected, write->value, -1, on_swap, write);
  else
    quince_kv_client_swap_delete (write->client, write->key, write->expected, on_swap, write);
}

QuinceOperatorWrite *
quince_operator_write_start (QuinceKvClient *client,
                             const char *key,
                             guint64 expected,
                             const char *value,
                             guint deadline_ms,
                             QuinceOperatorWriteCallback callback,
                             gpointer user_data)
{
  QuinceOperatorWrite *write = g_new0 (QuinceOperatorWrite, 1);
  write->client = client;
  write->key = g_strdup (key);
  write->expected = expected;
  write->value = g_strdup (value);
  write->random = g_rand_new_with_seed (g_random_int ());
  write->callback = callback;
  write->user_data = user_data;
  write->deadline = add_timer (deadline_ms, on_deadline, write);
  send_swap (write);
  return write;
}
