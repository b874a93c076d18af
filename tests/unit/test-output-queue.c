/*
 * test-output-queue.c: guards against bytes of an output queue that are lost, sent twice or out of order, and
 * against shared pieces that are kept after they were sent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "runtime/output-queue.h"

#define SEED 71001
#define ROUNDS 400
#define SMALL_MAX_BYTES 300
#define LARGE_MAX_BYTES (200 * 1024)

static void
open_pair (GSocket *sockets[2])
{
  int descriptors[2];
  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM, 0, descriptors), 0);
  for (guint i = 0; i < 2; i++)
    {
      sockets[i] = g_socket_new_from_fd (descriptors[i], NULL);
      g_socket_set_blocking (sockets[i], FALSE);
    }
}

static void
receive (GSocket *socket, GByteArray *received)
{
  guint8 buffer[64 * 1024];
  gssize length;
  while ((length = g_socket_receive (socket, (char *)buffer, sizeof buffer, NULL, NULL)) > 0)
    g_byte_array_append (received, buffer, (guint)length);
}

/* Data that counts when it is freed. */
typedef struct
{
  gpointer data; /* owned; NULL: not allocated */
  guint *n_freed;
} CountedData;

static void
counted_data_free (gpointer data)
{
  CountedData *counted = data;
  ++*counted->n_freed;
  g_free (counted->data);
  g_free (counted);
}

/* Returns: (transfer full): bytes of @data (transfer full) */
static GBytes *
make_counted (gpointer data, gsize length, guint *n_freed)
{
  CountedData *counted = g_new0 (CountedData, 1);
  counted->data = data;
  counted->n_freed = n_freed;
  return g_bytes_new_with_free_func (data, length, counted_data_free, counted);
}

/* Appends a random piece, copied or shared. */
static void
append (QuinceOutputQueue *queue, GRand *random, GByteArray *expected, guint *n_shared, guint *n_freed)
{
  gboolean is_large = g_rand_int_range (random, 0, 4) == 0;
  gsize length = (gsize)g_rand_int_range (random, 1, is_large ? LARGE_MAX_BYTES : SMALL_MAX_BYTES);
  guint8 *data = g_malloc (length);
  memset (data, g_rand_int_range (random, 0, 256), length);
  gsize offset = (gsize)g_rand_int_range (random, 0, (gint32)length);
  g_byte_array_append (expected, data + offset, (guint)(length - offset));
  if (g_rand_boolean (random))
    {
      quince_output_queue_append (queue, data + offset, length - offset);
      g_free (data);
      return;
    }
  g_autoptr (GBytes) bytes = make_counted (data, length, n_freed);
  quince_output_queue_append_bytes (queue, bytes, offset);
  ++*n_shared;
}

static void
test_random_pieces (void **state)
{
  GSocket *sockets[2];
  open_pair (sockets);
  g_autoptr (GRand) random = g_rand_new_with_seed (SEED);
  g_autoptr (QuinceOutputQueue) queue = quince_output_queue_new ();
  g_autoptr (GByteArray) expected = g_byte_array_new ();
  g_autoptr (GByteArray) received = g_byte_array_new ();
  guint n_shared = 0, n_freed = 0;
  for (guint i = 0; i < ROUNDS; i++)
    {
      append (queue, random, expected, &n_shared, &n_freed);
      if (g_rand_boolean (random) && quince_output_queue_get_length (queue) > 0)
        quince_output_queue_send (queue, sockets[0], NULL);
      receive (sockets[1], received);
      assert_true (received->len + quince_output_queue_get_length (queue) == expected->len);
    }
  while (quince_output_queue_get_length (queue) > 0)
    {
      quince_output_queue_send (queue, sockets[0], NULL);
      receive (sockets[1], received);
    }
  assert_memory_equal (received->data, expected->data, expected->len);
  assert_int_equal (n_freed, n_shared);
  g_object_unref (sockets[0]);
  g_object_unref (sockets[1]);
}

static void
test_clear (void **state)
{
  guint n_freed = 0;
  g_autoptr (QuinceOutputQueue) queue = quince_output_queue_new ();
  g_autoptr (GBytes) bytes = make_counted (g_malloc0 (LARGE_MAX_BYTES), LARGE_MAX_BYTES, &n_freed);
  quince_output_queue_append (queue, "head", 4);
  quince_output_queue_append_bytes (queue, bytes, 0);
  g_clear_pointer (&bytes, g_bytes_unref);
  assert_int_equal (quince_output_queue_get_length (queue), 4 + LARGE_MAX_BYTES);
  assert_int_equal (n_freed, 0);
  quince_output_queue_clear (queue);
  assert_int_equal (quince_output_queue_get_length (queue), 0);
  assert_int_equal (n_freed, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_random_pieces), cmocka_unit_test (test_clear) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
