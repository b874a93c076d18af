/*
 * test-packed-message.c: large messages, records and results are compressed and decode to their original
 * contents; corrupt ones fail with an error.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <gio/gio.h>
#include "runtime/link.h"
#include "core/batches/batch-table.h"
#include "runtime/packed-message.h"

/* Typical size of a sample's text. */
#define RESULT_TEXT_BYTES 6000

/* Returns an encoded FEED_UPDATE message with @n_items similar items. */
static GBytes *
make_feed_update (guint n_items)
{
  g_autofree QuinceFeedItem *feed_items = g_new0 (QuinceFeedItem, n_items);
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  static char value[]
      = "{\"service\":\"llm\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\",\"state\":\"ready\"}";
  for (guint i = 0; i < n_items; i++)
    {
      g_ptr_array_add (keys, g_strdup_printf ("w/i-%u", i));
      feed_items[i].key = keys->pdata[i];
      feed_items[i].revision = i + 1;
      feed_items[i].value.value_val = value;
      feed_items[i].value.value_len = sizeof value - 1;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_FEED_UPDATE };
  message.QuinceMessage_u.feed_update.prefix = (char *)"w/";
  message.QuinceMessage_u.feed_update.items.items_val = feed_items;
  message.QuinceMessage_u.feed_update.items.items_len = n_items;
  return quince_message_encode (&message, NULL);
}

static QuinceMessage *
decode (GBytes *bytes)
{
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  return quince_message_decode (data, length, NULL);
}

static void
test_large_message_is_packed (void **state)
{
  g_autoptr (GBytes) encoded = make_feed_update (3000);
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  assert_true (g_bytes_get_size (packed) * 5 < g_bytes_get_size (encoded));
  QuinceMessage *outer = decode (packed);
  assert_int_equal (outer->kind, QUINCE_MESSAGE_PACKED);
  QuinceMessage *inner = quince_message_unpack (&outer->QuinceMessage_u.packed, NULL);
  assert_non_null (inner);
  assert_int_equal (inner->kind, QUINCE_MESSAGE_FEED_UPDATE);
  assert_int_equal (inner->QuinceMessage_u.feed_update.items.items_len, 3000);
  assert_string_equal (inner->QuinceMessage_u.feed_update.items.items_val[2999].key, "w/i-2999");
  quince_message_free (inner);
  quince_message_free (outer);
}

static void
test_small_message_is_not_packed (void **state)
{
  g_autoptr (GBytes) encoded = make_feed_update (3);
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  assert_ptr_equal (packed, encoded);
}

/* A message that compression hardly shrinks is not packed. */
static void
test_incompressible_message_is_not_packed (void **state)
{
  static char bytes[16 * 1024];
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  for (guint i = 0; i < sizeof bytes; i++)
    bytes[i] = (char)g_rand_int_range (random, 0, 256);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_SERVICE_REPLY };
  message.QuinceMessage_u.service_reply.content_type = (char *)"";
  message.QuinceMessage_u.service_reply.body.body_val = bytes;
  message.QuinceMessage_u.service_reply.body.body_len = sizeof bytes;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  assert_ptr_equal (packed, encoded);
}

/* ---- Over a link ---------------------------------------------------------- */

typedef struct
{
  QuinceLink *accepted;
  guint n_messages;
  guint n_items;
} Receiver;

static void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  Receiver *receiver = data;
  receiver->n_messages++;
  if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    receiver->n_items += message->QuinceMessage_u.feed_update.items.items_len;
  quince_message_free (message);
}

static void
on_accepted (QuinceLink *link, gpointer data)
{
  ((Receiver *)data)->accepted = link;
}

static const QuinceLinkCallbacks link_callbacks = { .message = on_message };

static void
test_link_unpacks_messages (void **state)
{
  Receiver receiver = { 0 };
  g_autoptr (QuinceLinkServer) server
      = quince_link_server_new ("127.0.0.1:0", &link_callbacks, on_accepted, &receiver, NULL);
  g_autoptr (QuinceLink) link
      = quince_link_connect (quince_link_server_get_address (server), &link_callbacks, &receiver);
  g_autoptr (GBytes) encoded = make_feed_update (3000);
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_FAST);
  quince_link_send_bytes (link, packed);
  while (receiver.n_messages == 0)
    g_main_context_iteration (NULL, TRUE);
  assert_int_equal (receiver.n_items, 3000);
  assert_true (quince_link_get_bytes_sent (link) * 10 < g_bytes_get_size (encoded) * 9);
  quince_link_close (link);
  quince_link_unref (receiver.accepted);
}

/* ---- Records ---------------------------------------------------------------- */

static void
test_pack_records (void **state)
{
  static char text[8 * 1024];
  for (guint i = 0; i < sizeof text; i++)
    text[i] = (char)('a' + i * i % 23);
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_RESULT };
  QuinceBatchResult *result = &record.QuinceBatchRecord_u.result;
  result->batch = (char *)"b1";
  result->score = (char *)"";
  for (guint length = 16; length <= sizeof text; length *= 8)
    {
      result->text.text_val = text;
      result->text.text_len = length;
      g_autoptr (GBytes) encoded = quince_batch_record_encode (&record, NULL);
      g_autoptr (GBytes) packed = quince_batch_record_pack (encoded);
      gsize size;
      const char *data = g_bytes_get_data (packed, &size);
      assert_true (length < 2048 ? packed == encoded : size < length * 7 / 10);
      QuinceBatchRecord *unpacked = quince_batch_record_unpack (data, size, NULL);
      assert_non_null (unpacked);
      assert_memory_equal (unpacked->QuinceBatchRecord_u.result.text.text_val, text, length);
      quince_batch_record_free (unpacked);
      g_autoptr (GError) error = NULL;
      assert_null (quince_batch_record_unpack (data, size / 2, &error));
      assert_non_null (error);
    }
}

static void
test_corrupt_packed_message (void **state)
{
  g_autoptr (GBytes) encoded = make_feed_update (3000);
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  QuinceMessage *outer = decode (packed);
  QuincePacked *packed_part = &outer->QuinceMessage_u.packed;
  g_autoptr (GError) error = NULL;
  u_int length = packed_part->data.data_len;
  packed_part->data.data_len = length / 2;
  assert_null (quince_message_unpack (packed_part, &error));
  assert_non_null (error);
  g_clear_error (&error);
  packed_part->data.data_len = length;
  packed_part->data.data_val[0] ^= 0x55;
  assert_null (quince_message_unpack (packed_part, &error));
  assert_non_null (error);
  quince_message_free (outer);
}

/* Compaction finds FORGET records by the kind in their first bytes.  Those of batches with more than 250
 * records were packed, so that such a batch was never cleared from the log. */
static void
test_forget_record_is_not_packed (void **state)
{
  u_quad_t indexes[1000];
  for (guint i = 0; i < G_N_ELEMENTS (indexes); i++)
    indexes[i] = 5000 + i;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  record.QuinceBatchRecord_u.forget.batch = (char *)"b";
  record.QuinceBatchRecord_u.forget.indexes.indexes_val = indexes;
  record.QuinceBatchRecord_u.forget.indexes.indexes_len = G_N_ELEMENTS (indexes);
  g_autoptr (GBytes) encoded = quince_batch_record_encode (&record, NULL);
  g_autoptr (GBytes) packed = quince_batch_record_pack (encoded);
  assert_true (g_bytes_equal (packed, encoded));
}

/* The batch table keeps results encoded, and both LISTED and RESULT records yield the original result. */
static void
test_table_keeps_encoded_results (void **state)
{
  g_autofree char *text = g_malloc (RESULT_TEXT_BYTES);
  for (guint i = 0; i < RESULT_TEXT_BYTES; i++)
    text[i] = (char)('a' + g_random_int_range (0, 26));
  QuinceBatchResult result = { .batch = (char *)"batch-1", .item = 1, .score = (char *)"stamp" };
  result.text.text_val = text;
  result.text.text_len = RESULT_TEXT_BYTES;
  g_autoptr (GBytes) body = quince_batch_result_pack (&result);
  assert_true (g_bytes_get_size (body) < RESULT_TEXT_BYTES);
  gsize length;
  QuinceBatchRecord listed = { .kind = QUINCE_BATCH_RECORD_LISTED };
  listed.QuinceBatchRecord_u.listed.batch = (char *)"batch-1";
  listed.QuinceBatchRecord_u.listed.item = 1;
  listed.QuinceBatchRecord_u.listed.body.body_val = (char *)g_bytes_get_data (body, &length);
  listed.QuinceBatchRecord_u.listed.body.body_len = (u_int)length;
  QuinceBatchRecord result_record = { .kind = QUINCE_BATCH_RECORD_RESULT };
  result_record.QuinceBatchRecord_u.result = result;
  result_record.QuinceBatchRecord_u.result.item = 0;
  QuinceBatchItem items[2] = { 0 };
  for (guint i = 0; i < 2; i++)
    items[i] = (QuinceBatchItem){ .id = (char *)"i", .path = (char *)"/", .group = (char *)"" };
  QuinceBatchRecord submit = { .kind = QUINCE_BATCH_RECORD_SUBMIT };
  submit.QuinceBatchRecord_u.submit = (QuinceBatchJob){
    .id = (char *)"batch-1", .host = (char *)"", .path = (char *)"", .model = (char *)""
  };
  submit.QuinceBatchRecord_u.submit.items.items_val = items;
  submit.QuinceBatchRecord_u.submit.items.items_len = 2;
  const QuinceBatchTableCallbacks callbacks = { 0 };
  g_autoptr (QuinceBatchTable) table = quince_batch_table_new (&callbacks, NULL);
  const QuinceBatchRecord *records[] = { &submit, &listed, &result_record };
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    {
      g_autoptr (GBytes) encoded = quince_batch_record_encode (records[i], NULL);
      g_autoptr (GBytes) packed = quince_batch_record_pack (encoded);
      gconstpointer data = g_bytes_get_data (packed, &length);
      quince_batch_table_apply (table, i + 1, quince_batch_record_unpack (data, length, NULL));
    }
  const GPtrArray *results = quince_batch_table_find (table, "batch-1")->results;
  assert_int_equal (results->len, 2);
  for (guint i = 0; i < 2; i++)
    {
      const QuinceEncodedResult *encoded_result = results->pdata[i];
      assert_int_equal (encoded_result->item, 1 - i);
      g_autoptr (QuinceBatchResult) decoded = quince_batch_result_unpack (encoded_result->body, NULL);
      assert_int_equal (decoded->text.text_len, RESULT_TEXT_BYTES);
      assert_memory_equal (decoded->text.text_val, text, RESULT_TEXT_BYTES);
      assert_string_equal (decoded->score, "stamp");
    }
  g_autoptr (GBytes) broken = g_bytes_new ("\x78\x01no", 4);
  g_autoptr (GError) error = NULL;
  assert_null (quince_batch_result_unpack (broken, &error));
  assert_non_null (error);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_forget_record_is_not_packed),
    cmocka_unit_test (test_table_keeps_encoded_results),
    cmocka_unit_test (test_large_message_is_packed),
    cmocka_unit_test (test_small_message_is_not_packed),
    cmocka_unit_test (test_pack_records),
    cmocka_unit_test (test_incompressible_message_is_not_packed),
    cmocka_unit_test (test_link_unpacks_messages),
    cmocka_unit_test (test_corrupt_packed_message),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
