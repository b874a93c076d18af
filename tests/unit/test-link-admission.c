/*
 * test-link-admission.c: guards against frames that a link discards or passes on wrongly when its owner does
 * not admit them, against holds that outlive their messages, and against bodies that change on their way when
 * they are sent as the tail of a message.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "runtime/link.h"

#define SEED 71003
#define CALLS 300
#define SMALL_MAX_BYTES 200
#define LARGE_MAX_BYTES (300 * 1024)
#define LIMIT_BYTES (8u << 20)
#define WAIT_MAX_US (30 * G_USEC_PER_SEC)

typedef struct
{
  QuinceMemoryAccount *account;
  QuinceLink *accepted; /* owned */
  guint sizes[CALLS];   /* of the bodies, by call */
  gboolean arrived[CALLS];
  gboolean refused[CALLS];
  guint n_done; /* arrived or refused */
} Scene;

static char
get_body_byte (guint64 call)
{
  return (char)('a' + call % 26);
}

static void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  Scene *scene = data;
  const QuinceServiceCall *call = &message->QuinceMessage_u.service_call;
  assert_int_equal (message->kind, QUINCE_MESSAGE_SERVICE_CALL);
  assert_string_equal (call->target, "/target");
  assert_int_equal (call->body.body_len, scene->sizes[call->id]);
  for (guint i = 0; i < call->body.body_len; i++)
    if (call->body.body_val[i] != get_body_byte (call->id))
      fail_msg ("byte %u of call %u differs", i, (guint)call->id);
  assert_false (scene->arrived[call->id] || scene->refused[call->id]);
  scene->arrived[call->id] = TRUE;
  scene->n_done++;
  /* Some owners keep the memory for longer than the message. */
  if (call->id % 3 == 0)
    {
      QuinceMemoryHold *hold = quince_link_take_hold (link);
      assert_int_equal (hold != NULL, call->body.body_len >= QUINCE_LINK_ADMIT_MIN_BYTES);
      quince_memory_hold_free (hold);
    }
  quince_message_free (message);
}

/* Admits calls with even ids. */
static gboolean
on_admit (QuinceLink *link,
          const guint8 *start,
          gsize available,
          gsize frame_bytes,
          QuinceMemoryHold **hold,
          gpointer data)
{
  Scene *scene = data;
  guint64 call;
  assert_true (available >= QUINCE_LINK_ADMIT_MIN_BYTES && available <= frame_bytes);
  assert_true (quince_message_peek_service_call (start, available, &call));
  assert_false (quince_message_peek_service_reply (start, available, &call));
  assert_true (frame_bytes >= scene->sizes[call]);
  if (call % 2 == 1)
    {
      scene->refused[call] = TRUE;
      scene->n_done++;
      return FALSE;
    }
  *hold = quince_memory_hold_new (scene->account, NULL, NULL);
  assert_true (quince_memory_hold_reserve (*hold, frame_bytes, 0));
  return TRUE;
}

static void
on_closed (QuinceLink *link, const GError *error, gpointer data)
{
  fail_msg ("a link closed: %s", error->message);
}

static const QuinceLinkCallbacks server_callbacks
    = { .message = on_message, .closed = on_closed, .admit = on_admit };
static const QuinceLinkCallbacks client_callbacks = { .message = on_message, .closed = on_closed };

static void
on_accepted (QuinceLink *link, gpointer data)
{
  ((Scene *)data)->accepted = link;
}

static void
send_call (QuinceLink *link, guint call, guint size)
{
  g_autofree char *data = g_malloc (size + 1);
  memset (data, get_body_byte (call), size);
  g_autoptr (GBytes) body = g_bytes_new (data, size);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_SERVICE_CALL };
  message.QuinceMessage_u.service_call.id = call;
  message.QuinceMessage_u.service_call.method = (char *)"POST";
  message.QuinceMessage_u.service_call.target = (char *)"/target";
  quince_link_send_with_tail (link, &message, body);
}

static void
test_admission (void **state)
{
  Scene scene = { .account = quince_memory_account_new (LIMIT_BYTES) };
  g_autoptr (GRand) random = g_rand_new_with_seed (SEED);
  g_autoptr (QuinceLinkServer) server
      = quince_link_server_new ("127.0.0.1:0", &server_callbacks, on_accepted, &scene, NULL);
  g_autoptr (QuinceLink) link
      = quince_link_connect (quince_link_server_get_address (server), &client_callbacks, &scene);
  for (guint i = 0; i < CALLS; i++)
    {
      gboolean is_large = g_rand_int_range (random, 0, 3) == 0;
      scene.sizes[i] = (guint)g_rand_int_range (random, 0, is_large ? LARGE_MAX_BYTES : SMALL_MAX_BYTES);
      send_call (link, i, scene.sizes[i]);
    }
  gint64 end_us = g_get_monotonic_time () + WAIT_MAX_US;
  while (scene.n_done < CALLS && g_get_monotonic_time () < end_us)
    g_main_context_iteration (NULL, TRUE);
  assert_int_equal (scene.n_done, CALLS);
  for (guint i = 0; i < CALLS; i++)
    if (scene.refused[i] != (i % 2 == 1 && scene.sizes[i] >= QUINCE_LINK_ADMIT_MIN_BYTES)
        && ABS ((gint)scene.sizes[i] - QUINCE_LINK_ADMIT_MIN_BYTES) > SMALL_MAX_BYTES)
      fail_msg ("call %u of %u bytes", i, scene.sizes[i]);
  assert_int_equal (quince_memory_account_get_held (scene.account), 0);
  assert_int_equal (quince_memory_account_get_n_holds (scene.account), 0);
  quince_link_close (link);
  quince_link_close (scene.accepted);
  quince_link_unref (scene.accepted);
  quince_memory_account_free (scene.account);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_admission) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
