/*
 * load.c: callers that check what they are answered.
 */
#include "load.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include <quince/task.h>

#include "http-sync.h"

#define MOST_CONNECTIONS 20000
#define SHORTEST_PROMPT 32
/* libsoup 3.2 goes through all starting messages of a session, and for each through
 * all its connections, whenever one gets on: many sessions keep that small. */
#define N_SESSIONS 64

struct _QuinceLoad
{
  /* All fields belong to the thread that runs the load. */
  GRand *random;
  GPtrArray *calls;
  guint next; /* first call not yet sent, in order of start_us        */
  guint unfinished;
  gint answers[QUINCE_N_ANSWERS];    /* so far; atomic, other threads look     */
  SoupSession *sessions[N_SESSIONS]; /* owned while the load runs; used in turn */
  guint next_session;
  GCancellable *cancellable; /* of all exchanges                            */
  GMainContext *context;
  GSource *timer;
  GStrv others; /* agents that a retry may ask, in turn; NULL: none    */
  guint next_other;
};

typedef struct
{
  QuinceLoad *load;
  QuinceCall *call;
  SoupMessage *message;
  GOutputStream *body; /* what came of the answer, also when it was cut */
} Exchange;

static void
call_free (gpointer data)
{
  QuinceCall *call = data;
  g_free (call->member);
  g_free (call->kind);
  g_free (call->service);
  g_free (call->prompt);
  g_free (call->agent);
  g_free (call->error_type);
  g_free (call);
}

QuinceLoad *
quince_load_new (guint64 seed)
{
  QuinceLoad *load = g_new0 (QuinceLoad, 1);
  load->random = g_rand_new_with_seed ((guint32)seed);
  load->calls = g_ptr_array_new_with_free_func (call_free);
  return load;
}

void
quince_load_free (QuinceLoad *load)
{
  g_rand_free (load->random);
  g_ptr_array_unref (load->calls);
  g_strfreev (load->others);
  g_free (load);
}

GPtrArray *
quince_load_get_calls (QuinceLoad *load)
{
  return load->calls;
}

guint
quince_load_count_answers (QuinceLoad *load, QuinceAnswerKind kind)
{
  return (guint)g_atomic_int_get (&load->answers[kind]);
}

char *
quince_expected_text (const char *prompt, guint tokens)
{
  guint64 hash = quince_hash64 (prompt, strlen (prompt), 0);
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < tokens; i++)
    g_string_append_printf (text, "%08x-%u ", (guint)(hash >> 32), i);
  return g_string_free (text, FALSE);
}

/* ---- Making calls --------------------------------------------------------- */

static char *
make_prompt (QuinceLoad *load, const QuinceLoadShape *shape, guint tokens)
{
  GString *prompt = g_string_new (NULL);
  /* The shared part depends on the kind alone. */
  g_autoptr (GRand) shared = g_rand_new_with_seed (g_str_hash (shape->kind));
  while (prompt->len < shape->shared_prefix_bytes)
    g_string_append_c (prompt, (char)('a' + g_rand_int_range (shared, 0, 26)));
  g_string_append_printf (prompt, " len=%u ", tokens);
  while (prompt->len < MAX (shape->prompt_bytes, SHORTEST_PROMPT))
    g_string_append_c (prompt, (char)('a' + g_rand_int_range (load->random, 0, 26)));
  return g_string_free (prompt, FALSE);
}

void
quince_load_add (QuinceLoad *load, const QuinceLoadShape *shape, const char *const *agents)
{
  guint n_agents = g_strv_length ((char **)agents);
  for (guint i = 0; i < shape->requests; i++)
    {
      QuinceCall *call = g_new0 (QuinceCall, 1);
      guint least = MAX (1, shape->tokens / 2);
      QuinceRequestId id;
      quince_request_id_generate (id, quince_wall_ms ());
      quince_request_id_format (id, call->id);
      call->member = g_strdup (shape->member);
      call->kind = g_strdup (shape->kind);
      call->service = g_strdup (shape->service);
      call->tokens
          = (guint)g_rand_int_range (load->random, (gint32)least, (gint32)(least + shape->tokens + 1));
      call->prompt = make_prompt (load, shape, call->tokens);
      call->repeatable = shape->repeatable;
      call->stream = shape->stream;
      call->deadline_ms = shape->deadline_ms;
      call->start_us = shape->start_us + shape->spread_us * i / MAX (1, shape->requests);
      call->agent = g_strdup (agents[i % n_agents]);
      call->error_type = g_strdup ("");
      g_ptr_array_add (load->calls, call);
    }
}

void
quince_load_set_retries (QuinceLoad *load, const char *const *agents, guint retries)
{
  g_strfreev (load->others);
  load->others = g_strdupv ((GStrv)agents);
  for (guint i = 0; i < load->calls->len; i++)
    ((QuinceCall *)load->calls->pdata[i])->retries = retries;
}

/* ---- Answers --------------------------------------------------------------- */

static gboolean
is_whole (const QuinceCall *call, const char *text)
{
  g_autofree char *expected = quince_expected_text (call->prompt, call->tokens);
  return g_str_equal (text, expected);
}

/* What a cut stream brought must be the beginning of the caller's own answer. */
static gboolean
is_own_part (const QuinceCall *call, const char *text)
{
  g_autofree char *expected = quince_expected_text (call->prompt, call->tokens);
  return g_str_has_prefix (expected, text);
}

static const char *
first_choice_text (JsonNode *root)
{
  JsonArray *choices = quince_json_dig_array (root, "choices");
  JsonNode *choice
      = choices != NULL && json_array_get_length (choices) > 0 ? json_array_get_element (choices, 0) : NULL;
  return choice != NULL ? quince_json_dig_text (choice, "text", "") : "";
}

static QuinceAnswerKind
judge_stream (const QuinceCall *call, const char *body)
{
  g_autoptr (GString) text = g_string_new (NULL);
  gboolean done = FALSE;
  g_auto (GStrv) lines = g_strsplit (body, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      if (!g_str_has_prefix (*line, "data: "))
        continue;
      const char *data = *line + strlen ("data: ");
      if (g_str_has_prefix (data, "[DONE]"))
        {
          done = TRUE;
          continue;
        }
      g_autoptr (JsonNode) event = json_from_string (data, NULL);
      if (event != NULL)
        g_string_append (text, first_choice_text (event));
    }
  if (!done)
    return is_own_part (call, text->str) ? QUINCE_ANSWER_CUT : QUINCE_ANSWER_WRONG;
  return is_whole (call, text->str) ? QUINCE_ANSWER_WHOLE : QUINCE_ANSWER_WRONG;
}

static QuinceAnswerKind
judge_error (QuinceCall *call, JsonNode *root)
{
  g_free (call->error_type);
  call->error_type = g_strdup (quince_json_dig_text (root, "error.type", ""));
  call->retry_after_ms = (guint64)quince_json_dig_int (root, "error.retry_after_ms", 0);
  JsonObject *error = NULL;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root)
      && json_object_has_member (json_node_get_object (root), "error"))
    error = json_object_get_object_member (json_node_get_object (root), "error");
  gboolean not_run = error != NULL && json_object_get_boolean_member_with_default (error, "not_run", FALSE);
  return not_run ? QUINCE_ANSWER_NOT_RUN : QUINCE_ANSWER_UNKNOWN;
}

static QuinceAnswerKind
judge_answer (QuinceCall *call, const char *body)
{
  if (call->status == 200 && call->stream)
    return judge_stream (call, body);
  g_autoptr (JsonNode) root = json_from_string (body, NULL);
  if (call->status != 200)
    return judge_error (call, root);
  const char *text = root != NULL ? first_choice_text (root) : "";
  return is_whole (call, text) ? QUINCE_ANSWER_WHOLE : QUINCE_ANSWER_WRONG;
}

static void send_call (QuinceLoad *load, QuinceCall *call);

/* The next of the other agents, not the one that was just asked. */
static void
choose_other (QuinceLoad *load, QuinceCall *call)
{
  guint n_others = g_strv_length (load->others);
  for (guint i = 0; i < n_others; i++)
    {
      const char *other = load->others[load->next_other++ % n_others];
      if (g_str_equal (other, call->agent))
        continue;
      g_free (call->agent);
      call->agent = g_strdup (other);
      return;
    }
}

static gboolean
retry (QuinceLoad *load, QuinceCall *call, gboolean refused)
{
  call->unreachable += refused ? 1 : 0;
  gboolean stopping = g_str_equal (call->error_type, "stopping") && call->status == 503;
  call->stopping += stopping && call->answer == QUINCE_ANSWER_NOT_RUN && call->retry_after_ms > 0 ? 1 : 0;
  gboolean ended = g_cancellable_is_cancelled (load->cancellable);
  if (call->retries == 0 || ended || (!refused && call->answer != QUINCE_ANSWER_NOT_RUN))
    return FALSE;
  call->retries--;
  choose_other (load, call);
  g_free (call->error_type);
  call->error_type = g_strdup ("");
  call->retry_after_ms = 0;
  send_call (load, call);
  return TRUE;
}

static void
exchange_end (Exchange *exchange, gboolean cut, gboolean refused)
{
  QuinceCall *call = exchange->call;
  gsize length = 0;
  g_autofree char *body = NULL;
  call->latency_us = quince_now_us () - call->start_us;
  call->status = soup_message_get_status (exchange->message);
  if (exchange->body != NULL)
    {
      GMemoryOutputStream *memory = G_MEMORY_OUTPUT_STREAM (exchange->body);
      length = g_memory_output_stream_get_data_size (memory);
      body = g_strndup (length > 0 ? g_memory_output_stream_get_data (memory) : "", length);
    }
  call->answer = QUINCE_ANSWER_CUT;
  if (!cut || (body != NULL && call->status == 200 && call->stream))
    call->answer = judge_answer (call, body);
  call->on_time = call->answer == QUINCE_ANSWER_WHOLE && call->latency_us <= (gint64)call->deadline_ms * 1000;
  if (!retry (exchange->load, call, refused))
    {
      exchange->load->unfinished--;
      g_atomic_int_inc (&exchange->load->answers[call->answer]);
    }
  g_clear_object (&exchange->body);
  g_object_unref (exchange->message);
  g_free (exchange);
}

static void
body_done (GObject *body, GAsyncResult *result, gpointer data)
{
  gboolean cut = g_output_stream_splice_finish (G_OUTPUT_STREAM (body), result, NULL) < 0;
  exchange_end (data, cut, FALSE);
}

static void
headers_done (GObject *session, GAsyncResult *result, gpointer data)
{
  Exchange *exchange = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GInputStream) input = soup_session_send_finish (SOUP_SESSION (session), result, &error);
  if (input == NULL)
    {
      exchange_end (exchange, TRUE, g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED));
      return;
    }
  exchange->body = g_memory_output_stream_new_resizable ();
  g_output_stream_splice_async (exchange->body, input, G_OUTPUT_STREAM_SPLICE_CLOSE_SOURCE,
                                G_PRIORITY_DEFAULT, exchange->load->cancellable, body_done, exchange);
}

/* ---- Sending --------------------------------------------------------------- */

static char *
make_body (const QuinceCall *call)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "model");
  json_builder_add_string_value (builder, call->service);
  json_builder_set_member_name (builder, "prompt");
  json_builder_add_string_value (builder, call->prompt);
  json_builder_set_member_name (builder, "max_tokens");
  json_builder_add_int_value (builder, call->tokens);
  json_builder_set_member_name (builder, "stream");
  json_builder_add_boolean_value (builder, call->stream);
  json_builder_end_object (builder);
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static void
send_call (QuinceLoad *load, QuinceCall *call)
{
  g_autofree char *url = g_strconcat ("http://", call->agent, "/v1/completions", NULL);
  g_autofree char *body = make_body (call);
  g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
  g_autofree char *deadline = g_strdup_printf ("%" G_GUINT64_FORMAT, call->deadline_ms);
  SoupMessage *message = soup_message_new ("POST", url);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  soup_message_headers_append (headers, "X-Quince-Member", call->member);
  soup_message_headers_append (headers, "X-Quince-Kind", call->kind);
  soup_message_headers_append (headers, "X-Quince-Deadline-Ms", deadline);
  soup_message_headers_append (headers, "X-Quince-Repeatable", call->repeatable ? "true" : "false");
  soup_message_headers_append (headers, "X-Quince-Request-Id", call->id);
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
  Exchange *exchange = g_new0 (Exchange, 1);
  exchange->load = load;
  exchange->call = call;
  exchange->message = message;
  SoupSession *session = load->sessions[load->next_session++ % N_SESSIONS];
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT, load->cancellable, headers_done, exchange);
}

static gboolean
send_due (gpointer data)
{
  QuinceLoad *load = data;
  gint64 now_us = quince_now_us ();
  while (load->next < load->calls->len)
    {
      QuinceCall *call = load->calls->pdata[load->next];
      if (call->start_us > now_us)
        break;
      load->next++;
      send_call (load, call);
    }
  g_source_set_ready_time (load->timer, load->next < load->calls->len
                                            ? ((QuinceCall *)load->calls->pdata[load->next])->start_us
                                            : -1);
  return G_SOURCE_CONTINUE;
}

static gboolean
timer_dispatch (GSource *source, GSourceFunc function, gpointer data)
{
  return function (data);
}

static GSourceFuncs timer_functions = { .dispatch = timer_dispatch };

static int
compare_start (gconstpointer a, gconstpointer b)
{
  const QuinceCall *first = *(const QuinceCall *const *)a;
  const QuinceCall *second = *(const QuinceCall *const *)b;
  return first->start_us < second->start_us ? -1 : first->start_us > second->start_us;
}

static gboolean
wake (gpointer data)
{
  return G_SOURCE_CONTINUE;
}

static void
start_sessions (QuinceLoad *load)
{
  for (guint i = 0; i < N_SESSIONS; i++)
    {
      load->sessions[i] = soup_session_new_with_options ("max-conns", MOST_CONNECTIONS, "max-conns-per-host",
                                                         MOST_CONNECTIONS, NULL);
      soup_session_set_proxy_resolver (load->sessions[i], NULL);
    }
}

void
quince_load_run (QuinceLoad *load, guint bound_ms)
{
  if (load->calls->len == 0)
    return;
  g_ptr_array_sort (load->calls, compare_start);
  load->unfinished = load->calls->len;
  start_sessions (load);
  load->cancellable = g_cancellable_new ();
  load->context = g_main_context_ref_thread_default ();
  load->timer = g_source_new (&timer_functions, sizeof (GSource));
  g_source_set_callback (load->timer, send_due, load, NULL);
  g_source_set_ready_time (load->timer, 0);
  g_source_attach (load->timer, load->context);
  GSource *waker = quince_timer_add (100, wake, NULL);
  gint64 last_us = ((QuinceCall *)load->calls->pdata[load->calls->len - 1])->start_us;
  gint64 end_us = last_us + (gint64)bound_ms * 1000;
  while (load->unfinished > 0 && quince_now_us () < end_us)
    g_main_context_iteration (load->context, TRUE);
  quince_source_clear (&waker);
  quince_source_clear (&load->timer);
  g_cancellable_cancel (load->cancellable);
  for (guint i = 0; i < N_SESSIONS; i++)
    soup_session_abort (load->sessions[i]);
  /* Aborted exchanges still report back before their memory goes. */
  while (load->unfinished > load->calls->len - load->next)
    g_main_context_iteration (load->context, TRUE);
  for (guint i = 0; i < N_SESSIONS; i++)
    g_clear_object (&load->sessions[i]);
  g_clear_object (&load->cancellable);
  g_clear_pointer (&load->context, g_main_context_unref);
}
