/*
 * test-packed-message.c: large messages come through compressed, and broken ones are refused with a typed
 * error.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <gio/gio.h>
#include <quince/packed-message.h>

static GBytes *
news (guint items)
{
  g_autofree QuinceBelief *beliefs = g_new0 (QuinceBelief, items);
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  static char value[]
      = "{\"service\":\"llm\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\",\"state\":\"ready\"}";
  for (guint i = 0; i < items; i++)
    {
      g_ptr_array_add (keys, g_strdup_printf ("w/i-%u", i));
      beliefs[i].key = keys->pdata[i];
      beliefs[i].revision = i + 1;
      beliefs[i].value.value_val = value;
      beliefs[i].value.value_len = sizeof value - 1;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_BELIEF_NEWS };
  message.QuinceMessage_u.belief_news.prefix = (char *)"w/";
  message.QuinceMessage_u.belief_news.items.items_val = beliefs;
  message.QuinceMessage_u.belief_news.items.items_len = items;
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
test_large (void **state)
{
  g_autoptr (GBytes) encoded = news (3000);
  g_autoptr (GBytes) packed = quince_message_pack (encoded);
  assert_true (g_bytes_get_size (packed) * 5 < g_bytes_get_size (encoded));
  QuinceMessage *outer = decode (packed);
  assert_int_equal (outer->kind, QUINCE_MESSAGE_PACKED);
  QuinceMessage *inner = quince_message_unpack (&outer->QuinceMessage_u.packed, NULL);
  assert_non_null (inner);
  assert_int_equal (inner->kind, QUINCE_MESSAGE_BELIEF_NEWS);
  assert_int_equal (inner->QuinceMessage_u.belief_news.items.items_len, 3000);
  assert_string_equal (inner->QuinceMessage_u.belief_news.items.items_val[2999].key, "w/i-2999");
  quince_message_free (inner);
  quince_message_free (outer);
}

static void
test_small (void **state)
{
  g_autoptr (GBytes) encoded = news (3);
  g_autoptr (GBytes) packed = quince_message_pack (encoded);
  assert_ptr_equal (packed, encoded);
}

static void
test_broken (void **state)
{
  g_autoptr (GBytes) encoded = news (3000);
  g_autoptr (GBytes) packed = quince_message_pack (encoded);
  QuinceMessage *outer = decode (packed);
  QuincePacked *inside = &outer->QuinceMessage_u.packed;
  g_autoptr (GError) error = NULL;
  u_int length = inside->data.data_len;
  inside->data.data_len = length / 2;
  assert_null (quince_message_unpack (inside, &error));
  assert_non_null (error);
  g_clear_error (&error);
  inside->data.data_len = length;
  inside->data.data_val[0] ^= 0x55;
  assert_null (quince_message_unpack (inside, &error));
  assert_non_null (error);
  quince_message_free (outer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_large),
    cmocka_unit_test (test_small),
    cmocka_unit_test (test_broken),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
