/*
 * kv-watch.c: keeps every key with a prefix in view.
 *
 * A range read gives the set, a watch from the next revision its changes.
 * After any break (connection, compaction, an answer that makes no sense) the
 * prefix is read again after a spread back-off.  A watch that stands is
 * checked by a range read every few seconds, as a dead connection may stay silent.
 * An answer below a revision already seen comes from a replica that lags and
 * is refused.
 */
#include "clients/kv-client.h"

#include "runtime/log.h"
#include "runtime/clock.h"

#include "kv-call.h"
#include "kv-internal.h"
#include "kv-json.h"

#include <string.h>

#define BACKOFF_MIN_MS 50
#define BACKOFF_GREATEST_MS 2000
#define CHECK_MIN_MS 4000
#define CHECK_GREATEST_MS 8000
#define READ_BYTES 65536

/* One streaming answer. Owned by the pending libsoup operation. */
typedef struct
{
  QuinceKvWatch *watch;      /* not owned; NULL once the watch gave it up */
  SoupMessage *message;      /* owned */
  GCancellable *cancellable; /* owned */
  GInputStream *input;       /* owned; NULL before the answer's head */
  GByteArray *line;          /* owned; bytes of a line not yet whole */
  gboolean created;          /* the service confirmed the watch */
} WatchStream;

/* Belongs to the context that created it. */
struct _QuinceKvWatch
{
  QuinceKvClient *client; /* not owned; outlives the watch */
  char *prefix;           /* owned */
  QuinceKvWatchCallbacks callbacks;
  gpointer user_data; /* not owned */
  GPtrArray *items;   /* owned; QuinceKvItem, sorted by key; NULL before the first read */
  guint64 revision;   /* greatest store revision seen */
  gboolean up;
  gboolean reading;    /* a read is on its way */
  gint64 contact_us;   /* last answer of the service; 0: none */
  WatchStream *stream; /* not owned; NULL when none is open */
  GSource *timer;      /* owned; the back-off or the next check */
  GRand *random;       /* owned; spreads the back-off */
  guint failures;      /* breaks since the last proof of health */
};

static void watch_read (QuinceKvWatch *watch);
static void stream_open (QuinceKvWatch *watch);

/* ---- Timer and state ---------------------------------------------------- */

static void
clear_timer (QuinceKvWatch *watch)
{
  if (watch->timer != NULL)
    g_source_destroy (watch->timer);
  g_clear_pointer (&watch->timer, g_source_unref);
}

static gboolean
on_timer (gpointer user_data)
{
  QuinceKvWatch *watch = user_data;
  clear_timer (watch);
  watch_read (watch);
  return G_SOURCE_REMOVE;
}

static void
set_timer (QuinceKvWatch *watch, guint delay_ms)
{
  clear_timer (watch);
  watch->timer = g_timeout_source_new (delay_ms);
  g_source_set_callback (watch->timer, on_timer, watch, NULL);
  g_source_attach (watch->timer, g_main_context_get_thread_default ());
}

/* Spread, so that many watchers do not read in the same moment. */
static void
set_check_timer (QuinceKvWatch *watch)
{
  set_timer (watch, g_rand_int_range (watch->random, CHECK_MIN_MS, CHECK_GREATEST_MS));
}

static void
set_up (QuinceKvWatch *watch, gboolean up)
{
  if (watch->up == up)
    return;
  watch->up = up;
  if (watch->callbacks.state != NULL)
    watch->callbacks.state (up, watch->user_data);
}

static void
tell_changed (QuinceKvWatch *watch)
{
  if (watch->callbacks.changed != NULL)
    watch->callbacks.changed (watch->items, watch->revision, watch->user_data);
}

static guint
backoff_ms (QuinceKvWatch *watch)
{
  guint ceiling = BACKOFF_MIN_MS << MIN (watch->failures, 6);
  ceiling = MIN (ceiling, BACKOFF_GREATEST_MS);
  return g_rand_int_range (watch->random, BACKOFF_MIN_MS / 2, ceiling + 1);
}

static void
stream_drop (QuinceKvWatch *watch)
{
  WatchStream *stream = g_steal_pointer (&watch->stream);
  if (stream == NULL)
    return;
  stream->watch = NULL;
  g_cancellable_cancel (stream->cancellable);
}

/* Any break: read the prefix again after a while. */
static void
watch_break (QuinceKvWatch *watch, const char *reason)
{
  stream_drop (watch);
  quince_kv_client_cancel (watch->client, watch);
  watch->reading = FALSE;
  watch->failures++;
  guint delay_ms = backoff_ms (watch);
  g_autofree char *quoted = quince_log_quote (reason);
  quince_log_info ("kv_watch_broken", "prefix=%s reason=%s retry_ms=%u", watch->prefix, quoted, delay_ms);
  set_timer (watch, delay_ms);
  set_up (watch, FALSE);
}

/* ---- The set in view ------------------------------------------------------ */

static gboolean
same_items (GPtrArray *left, GPtrArray *right)
{
  if (left == NULL || left->len != right->len)
    return FALSE;
  for (guint i = 0; i < left->len; i++)
    {
      const QuinceKvItem *a = left->pdata[i];
      const QuinceKvItem *b = right->pdata[i];
      if (strcmp (a->key, b->key) != 0 || a->mod_revision != b->mod_revision)
        return FALSE;
    }
  return TRUE;
}

static GPtrArray *
copy_items (GPtrArray *items)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_kv_item_free);
  for (guint i = 0; i < items->len; i++)
    g_ptr_array_add (copy, quince_kv_item_copy (items->pdata[i]));
  return copy;
}

/* Position of @key, or where it belongs. */
static guint
find_item (GPtrArray *items, const char *key, gboolean *found)
{
  guint i = 0;
  int order = 1;
  while (i < items->len && (order = strcmp (((QuinceKvItem *)items->pdata[i])->key, key)) < 0)
    i++;
  *found = i < items->len && order == 0;
  return i;
}

/* %FALSE: the set already held this change or a newer one. */
static gboolean
apply_event (QuinceKvWatch *watch, const QuinceKvEvent *event)
{
  gboolean found;
  guint i = find_item (watch->items, event->item->key, &found);
  if (event->item->mod_revision <= watch->revision)
    return FALSE;
  if (found)
    g_ptr_array_remove_index (watch->items, i);
  if (!event->deleted)
    g_ptr_array_insert (watch->items, i, quince_kv_item_copy (event->item));
  return found || !event->deleted;
}

static void
on_range (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  QuinceKvWatch *watch = user_data;
  watch->reading = FALSE;
  watch->contact_us = error == NULL ? quince_now_us () : watch->contact_us;
  gboolean standing = watch->stream != NULL && watch->stream->created;
  if (standing && g_error_matches (error, QUINCE_KV_ERROR, QUINCE_KV_ERROR_RATE))
    {
      set_check_timer (watch);
      return;
    }
  if (error != NULL || (watch->stream != NULL && !standing))
    {
      watch_break (watch, error != NULL ? error->message : "the watch did not start in time");
      return;
    }
  if (revision < watch->revision)
    {
      quince_kv_client_next_endpoint (watch->client);
      watch_break (watch, "answer older than one already seen");
      return;
    }
  watch->revision = revision;
  if (standing && same_items (watch->items, items))
    {
      watch->failures = 0;
      set_check_timer (watch);
      return;
    }
  stream_drop (watch);
  g_clear_pointer (&watch->items, g_ptr_array_unref);
  watch->items = copy_items (items);
  stream_open (watch);
  set_check_timer (watch);
  tell_changed (watch);
}

static void
watch_read (QuinceKvWatch *watch)
{
  watch->reading = TRUE;
  quince_kv_client_get (watch->client, watch->prefix, TRUE, on_range, watch);
}

/* ---- The stream of changes ------------------------------------------------ */

static void
stream_free (WatchStream *stream)
{
  g_clear_object (&stream->input);
  g_clear_object (&stream->message);
  g_clear_object (&stream->cancellable);
  g_byte_array_unref (stream->line);
  g_free (stream);
}

/* Events of one line. Afterwards the watch may be gone: look at the stream. */
static void
apply_line (QuinceKvWatch *watch, const QuinceKvWatchLine *line)
{
  gboolean changed = FALSE;
  guint64 newest = watch->revision;
  for (guint i = 0; i < line->events->len; i++)
    {
      const QuinceKvEvent *event = line->events->pdata[i];
      changed |= apply_event (watch, event);
      newest = MAX (newest, event->item->mod_revision);
    }
  watch->revision = newest;
  if (changed)
    {
      watch->failures = 0;
      tell_changed (watch);
    }
}

static void
handle_line (WatchStream *stream, const char *text, gsize length)
{
  g_autoptr (GError) error = NULL;
  QuinceKvWatchLine line;
  stream->watch->contact_us = quince_now_us ();
  if (!quince_kv_json_parse_watch (text, length, &line, &error))
    {
      watch_break (stream->watch, error->message);
      return;
    }
  if (line.canceled)
    watch_break (stream->watch, "the service ended the watch");
  else if (line.created)
    {
      stream->created = TRUE;
      set_up (stream->watch, TRUE);
    }
  if (stream->watch != NULL)
    apply_line (stream->watch, &line);
  quince_kv_watch_line_clear (&line);
}

/* Handles every whole line; stops when the watch gave the stream up. */
static void
handle_bytes (WatchStream *stream, GBytes *chunk)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (chunk, &length);
  g_byte_array_append (stream->line, data, length);
  const guint8 *end;
  while (stream->watch != NULL && (end = memchr (stream->line->data, '\n', stream->line->len)) != NULL)
    {
      gsize size = end - stream->line->data;
      g_autofree char *text = g_strndup ((const char *)stream->line->data, size);
      g_byte_array_remove_range (stream->line, 0, size + 1);
      if (size > 0)
        handle_line (stream, text, size);
      if (stream->line->len == 0)
        break;
    }
  if (stream->watch != NULL && stream->line->len > QUINCE_KV_MAX_ANSWER_BYTES)
    watch_break (stream->watch, "a watch line is too long");
}

static void
on_chunk (GObject *source, GAsyncResult *result, gpointer user_data)
{
  WatchStream *stream = user_data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) chunk = g_input_stream_read_bytes_finish (stream->input, result, &error);
  if (stream->watch != NULL && chunk != NULL && g_bytes_get_size (chunk) > 0)
    handle_bytes (stream, chunk);
  else if (stream->watch != NULL)
    {
      quince_kv_client_next_endpoint (stream->watch->client);
      watch_break (stream->watch, error != NULL ? error->message : "the stream ended");
    }
  if (stream->watch != NULL)
    g_input_stream_read_bytes_async (stream->input, READ_BYTES, G_PRIORITY_DEFAULT, stream->cancellable,
                                     on_chunk, stream);
  else
    stream_free (stream);
}

static void
on_head (GObject *source, GAsyncResult *result, gpointer user_data)
{
  WatchStream *stream = user_data;
  g_autoptr (GError) error = NULL;
  stream->input = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  gboolean ok = stream->input != NULL && soup_message_get_status (stream->message) == SOUP_STATUS_OK;
  if (stream->watch != NULL && !ok)
    {
      quince_kv_client_next_endpoint (stream->watch->client);
      watch_break (stream->watch, error != NULL ? error->message : "the watch was refused");
    }
  if (stream->watch != NULL)
    g_input_stream_read_bytes_async (stream->input, READ_BYTES, G_PRIORITY_DEFAULT, stream->cancellable,
                                     on_chunk, stream);
  else
    stream_free (stream);
}

static void
stream_open (QuinceKvWatch *watch)
{
  g_autofree char *body = quince_kv_json_watch (watch->prefix, watch->revision + 1);
  const char *endpoint = quince_kv_client_get_endpoint (watch->client);
  SoupMessage *message = quince_kv_message_new (endpoint, "/v3/watch", body);
  if (message == NULL)
    return; /* the next check tries the next endpoint */
  WatchStream *stream = g_new0 (WatchStream, 1);
  stream->watch = watch;
  stream->message = message;
  stream->cancellable = g_cancellable_new ();
  stream->line = g_byte_array_new ();
  watch->stream = stream;
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  soup_session_send_async (quince_kv_client_get_session (watch->client), message, G_PRIORITY_DEFAULT,
                           stream->cancellable, on_head, stream);
}

/* ---- Public ----------------------------------------------------------------- */

QuinceKvWatch *
quince_kv_watch_new (QuinceKvClient *client,
                     const char *prefix,
                     const QuinceKvWatchCallbacks *callbacks,
                     gpointer user_data)
{
  QuinceKvWatch *watch = g_new0 (QuinceKvWatch, 1);
  watch->client = client;
  watch->prefix = g_strdup (prefix);
  watch->callbacks = *callbacks;
  watch->user_data = user_data;
  watch->random = g_rand_new_with_seed (g_random_int ());
  watch_read (watch);
  return watch;
}

void
quince_kv_watch_free (QuinceKvWatch *watch)
{
  if (watch == NULL)
    return;
  quince_kv_client_cancel (watch->client, watch);
  stream_drop (watch);
  clear_timer (watch);
  g_clear_pointer (&watch->items, g_ptr_array_unref);
  g_rand_free (watch->random);
  g_free (watch->prefix);
  g_free (watch);
}

void
quince_kv_watch_check (QuinceKvWatch *watch)
{
  if (!watch->up || watch->reading)
    return;
  clear_timer (watch);
  watch_read (watch);
}

gint64
quince_kv_watch_get_heard_us (const QuinceKvWatch *watch)
{
  return watch->contact_us;
}
