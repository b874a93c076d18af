/*
 * test-agent-hub.c: messages between workers and hub that cross each other,
 * and the table of ids, without processes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <quince/request-id.h>

#include "../../daemons/agent/hub-client.c"
#include "../../daemons/agent/hub-message.c"
#include "../../daemons/agent/id-table.c"

#define WORKER 2

/* ---- A worker's end ----------------------------------------------------------------- */

typedef struct
{
  QuinceMailbox *mailbox; /* the hub's */
  GPtrArray *posted;      /* QuinceHubMessage, in order */
  QuinceHubClient *client;
  guint callbacks;
} ClientWorld;

static void
keep_message (gpointer message, gpointer user_data)
{
  g_ptr_array_add (((ClientWorld *)user_data)->posted, message);
}

static void
client_world_init (ClientWorld *world)
{
  *world = (ClientWorld){ .posted = g_ptr_array_new_with_free_func (quince_hub_message_free) };
  world->mailbox = quince_mailbox_new (NULL, keep_message, quince_hub_message_free, NULL, world);
  world->client = quince_hub_client_new (world->mailbox, WORKER);
}

static void
client_world_clear (ClientWorld *world)
{
  quince_hub_client_free (world->client);
  quince_mailbox_close (world->mailbox);
  quince_mailbox_unref (world->mailbox);
  g_ptr_array_unref (world->posted);
}

/* Returns: the last of @count messages that were posted. */
static const QuinceHubMessage *
last_posted (ClientWorld *world, guint count)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
  assert_int_equal (world->posted->len, count);
  return g_ptr_array_index (world->posted, count - 1);
}

static void
count_verdict (const char *node, const QuinceGrantReply *reply, gint64 sent_at_us, gpointer user_data)
{
  ((ClientWorld *)user_data)->callbacks++;
}

static void
count_lost (const char *node, gpointer user_data)
{
  ((ClientWorld *)user_data)->callbacks++;
}

static void
count_not_asked (QuinceAskFailure failure, gpointer user_data)
{
  ((ClientWorld *)user_data)->callbacks++;
}

static const QuinceAskCallbacks ask_callbacks
    = { .verdict = count_verdict, .lost = count_lost, .not_asked = count_not_asked };

static guint64
ask (ClientWorld *world)
{
  QuinceGrantRequest request = { .service = (char *)"s", .member = (char *)"m", .kind = (char *)"k" };
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  return quince_hub_client_ask (world->client, &request, 1, tried, QUINCE_ASK_FIRST, &ask_callbacks, world);
}

static QuinceWorkerMessage *
make_grant (guint64 call)
{
  QuinceGrantReply reply = { .verdict = { .kind = QUINCE_VERDICT_GRANTED } };
  reply.verdict.QuinceVerdict_u.grant
      = (QuinceGrant){ .grant_id = 41, .engine = (char *)"e1", .engine_address = (char *)"127.0.0.1:1" };
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_VERDICT, call);
  message->node = g_strdup ("n1");
  message->grant_reply = quince_grant_reply_copy (&reply);
  return message;
}

/* A grant that was on its way while its request was withdrawn goes back to its node. */
static void
test_grant_crosses_withdrawal (void **state)
{
  ClientWorld world;
  client_world_init (&world);
  guint64 call = ask (&world);
  QuinceWorkerMessage *grant = make_grant (call);
  quince_hub_client_cancel (world.client, call);
  assert_int_equal (last_posted (&world, 2)->kind, QUINCE_HUB_WITHDRAW);
  guint64 next = ask (&world);
  quince_hub_client_take (world.client, grant);
  const QuinceHubMessage *end = last_posted (&world, 4);
  assert_int_equal (end->kind, QUINCE_HUB_END_GRANT);
  assert_string_equal (end->node, "n1");
  assert_int_equal (end->end.grant_id, 41);
  assert_int_equal (end->end.outcome, QUINCE_OUTCOME_NOT_SENT);
  assert_int_equal (world.callbacks, 0);
  grant->call = next;
  quince_hub_client_take (world.client, grant);
  assert_int_equal (world.callbacks, 1);
  quince_worker_message_free (grant);
  client_world_clear (&world);
}

static void
count_id (gboolean taken, gpointer user_data)
{
  ((ClientWorld *)user_data)->callbacks++;
}

/* An id that was given to a request whose caller has gone meanwhile is free again. */
static void
test_id_crosses_cancel (void **state)
{
  ClientWorld world;
  QuinceRequestId id;
  quince_request_id_generate (id, 1000);
  client_world_init (&world);
  guint64 call = quince_hub_client_take_id (world.client, id, count_id, &world);
  quince_hub_client_cancel (world.client, call);
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_ID_ANSWER, call);
  memcpy (message->id, id, QUINCE_ID_BYTES);
  message->taken = TRUE;
  quince_hub_client_take (world.client, message);
  const QuinceHubMessage *release = last_posted (&world, 2);
  assert_int_equal (release->kind, QUINCE_HUB_RELEASE_ID);
  assert_int_equal (release->worker, WORKER);
  assert_memory_equal (release->id, id, QUINCE_ID_BYTES);
  assert_int_equal (world.callbacks, 0);
  quince_worker_message_free (message);
  client_world_clear (&world);
}

/* ---- Table of ids ------------------------------------------------------------------- */

/* Appends "+WORKER/CALL", "-WORKER/CALL" or "?WORKER". */
static void
note_answer (guint worker, guint64 call, const QuinceRequestId id, gboolean taken, gpointer user_data)
{
  g_string_append_printf (user_data, "%c%u/%" G_GUINT64_FORMAT " ", taken ? '+' : '-', worker, call);
}

static void
note_check (guint worker, const QuinceRequestId id, gpointer user_data)
{
  g_string_append_printf (user_data, "?%u ", worker);
}

static const QuinceIdTableCallbacks table_callbacks = { .answer = note_answer, .check = note_check };

static void
assert_notes (GString *notes, const char *wanted)
{
  assert_string_equal (notes->str, wanted);
  g_string_truncate (notes, 0);
}

static void
test_ids (void **state)
{
  g_autoptr (GString) notes = g_string_new (NULL);
  QuinceRequestId id;
  quince_request_id_generate (id, 1000);
  QuinceIdTable *table = quince_id_table_new (&table_callbacks, notes);
  quince_id_table_take (table, id, 0, 1);
  assert_notes (notes, "+0/1 ");
  quince_id_table_take (table, id, 1, 7);
  quince_id_table_take (table, id, 2, 8);
  assert_notes (notes, "?0 ?0 ");
  quince_id_table_held (table, id, 1); /* not the holder */
  quince_id_table_release (table, id, 1);
  assert_notes (notes, "");
  quince_id_table_held (table, id, 0);
  assert_notes (notes, "-1/7 -2/8 ");
  quince_id_table_take (table, id, 1, 9);
  quince_id_table_take (table, id, 0, 2);
  quince_id_table_release (table, id, 0);
  assert_notes (notes, "?0 ?0 +1/9 ?1 ");
  quince_id_table_held (table, id, 1);
  assert_notes (notes, "-0/2 ");
  quince_id_table_release (table, id, 1);
  quince_id_table_take (table, id, 2, 0); /* generated there: no answer is wanted */
  assert_notes (notes, "");
  quince_id_table_take (table, id, 0, 3);
  assert_notes (notes, "?2 ");
  quince_id_table_free (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_grant_crosses_withdrawal),
    cmocka_unit_test (test_id_crosses_cancel),
    cmocka_unit_test (test_ids),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
