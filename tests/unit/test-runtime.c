/*
 * test-runtime.c: settings, codec, quoting of log values, and links.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "runtime/address.h"
#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/settings.h"
#include "runtime/clock.h"

/* ---- Settings ---------------------------------------------------------- */

static const QuinceSettingSpec specs[] = {
  { "node", "name", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "name" },
  { "node", "listen", QUINCE_SETTING_ADDRESS, FALSE, "127.0.0.1:0", 0, 0, NULL, "address" },
  { "node", "wait", QUINCE_SETTING_DURATION, FALSE, "2s", 1000, 10 * G_USEC_PER_SEC, NULL, "wait" },
  { "node", "memory", QUINCE_SETTING_INTEGER, FALSE, "7", 0, 0, NULL, "memory" },
  { "node", "level", QUINCE_SETTING_CHOICE, FALSE, "low", 0, 0, "low|high", "level" },
  { "engine *", "address", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL, "address" },
};

static char *
write_file (const char *text)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("quince-settings-XXXXXX", &path, NULL);
  assert_true (fd >= 0);
  g_close (fd, NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static QuinceSettings *
load_text (const char *text, const char *const *overrides, GError **error)
{
  g_autofree char *path = write_file (text);
  QuinceSettings *settings = quince_settings_load (path, specs, G_N_ELEMENTS (specs), overrides, error);
  g_remove (path);
  return settings;
}

static void
test_settings_valid (void **state)
{
  const char *overrides[] = { "node.wait=300ms", "engine e.1.address=127.0.0.1:9", NULL };
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceSettings) settings
      = load_text ("# comment\n[node]\nname = n1\n[engine e.1]\naddress = 127.0.0.1:8\n", overrides, &error);
  assert_null (error);
  assert_string_equal (quince_settings_get_text (settings, "node", "name"), "n1");
  assert_int_equal (quince_settings_get_duration_us (settings, "node", "wait"), 300000);
  assert_int_equal (quince_settings_get_integer (settings, "node", "memory"), 7);
  assert_string_equal (quince_settings_get_text (settings, "engine e.1", "address"), "127.0.0.1:9");
  g_auto (GStrv) engines = quince_settings_get_instances (settings, "engine");
  assert_int_equal (g_strv_length (engines), 1);
  assert_string_equal (engines[0], "e.1");
}

static void
test_settings_problems (void **state)
{
  static const struct
  {
    const char *text;
    const char *expected; /* part of the message */
  } cases[] = {
    { "[node]\nname = n1\ncolour = red\n", ":3: [node] colour: unknown key; allowed: name, listen" },
    { "[node]\nname = n1\nwait = 5\n",
      ":3: [node] wait: '5' is not valid; allowed: a whole number and a unit" },
    { "[node]\nname = n1\nwait = 5KiB\n", ":3: [node] wait: '5KiB' is not valid" },
    { "[node]\nname = n1\nwait = 11s\n", "out of range" },
    { "[node]\nname = n1\nwait = 99999999999999999999s\n", "is not valid" },
    { "[node]\nname = n1\nlisten = localhost:80\n",
      ":3: [node] listen: 'localhost:80' is not valid; allowed: a numeric" },
    { "[node]\nname = n1\nlisten = 127.0.0.1:70000\n", ":3: [node] listen" },
    { "[node]\n", "[node] name: missing; allowed: 1 to 64 letters" },
    { "[node]\nname = n 1\n", ":2: [node] name: 'n 1' is not valid" },
    { "[node]\nname = n1\nname = n2\n", ":3: [node] name: given twice" },
    { "[node]\nname = n1\nlevel = middle\n", "allowed: low|high" },
    { "[node]\nname = n1\n[nodes]\nname = n1\n",
      ":3: [nodes]: unknown section; allowed: [node], [engine *]" },
    { "[node]\nname = n1\n[engine a]\naddress = 127.0.0.1:1\n[engine a]\n",
      ":5: [engine a]: duplicate section" },
    { "[node]\nname = n1\n[engine a]\n", "[engine a] address: missing" },
    { "name = n1\n", ":1: 'name = n1' is outside any section" },
    { "[node]\nname = n1\nwhat\n", ":3: 'what' is not a setting" },
    { "[node\nname = n1\n", ":1: '[node' is not a section header" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      assert_null (load_text (cases[i].text, NULL, &error));
      assert_true (g_error_matches (error, QUINCE_SETTINGS_ERROR, QUINCE_SETTINGS_ERROR_INVALID));
      if (strstr (error->message, cases[i].expected) == NULL)
        fail_msg ("case %u: '%s' lacks '%s'", i, error->message, cases[i].expected);
    }
}

static void
test_settings_report_all_problems (void **state)
{
  const char *overrides[] = { "bad", "node.colour=1", NULL };
  g_autoptr (GError) error = NULL;
  assert_null (load_text ("[node]\nwait = 1\nmemory = x\n", overrides, &error));
  g_auto (GStrv) lines = g_strsplit (error->message, "\n", -1);
  assert_int_equal (g_strv_length (lines), 5);
  g_clear_error (&error);
  assert_null (quince_settings_load ("/nonexistent/file", specs, G_N_ELEMENTS (specs), NULL, &error));
  assert_true (g_error_matches (error, QUINCE_SETTINGS_ERROR, QUINCE_SETTINGS_ERROR_READ));
}

/* ---- Codec ------------------------------------------------------------ */

static void
test_codec_rejects_wrong_length (void **state)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_ACK };
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  gsize length;
  const guint8 *data = g_bytes_get_data (encoded, &length);
  g_autoptr (QuinceMessage) decoded = quince_message_decode (data, length, NULL);
  assert_int_equal (decoded->kind, QUINCE_MESSAGE_USAGE_ACK);
  g_autoptr (GError) error = NULL;
  assert_null (quince_message_decode (data, length - 1, &error));
  assert_true (g_error_matches (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_DECODE));
  g_clear_error (&error);
  g_autofree guint8 *extended = g_malloc0 (length + 4);
  memcpy (extended, data, length);
  assert_null (quince_message_decode (extended, length + 4, &error));
  assert_true (g_error_matches (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_TRAILING));
}

/* Random bytes never crash a decoder. */
static void
test_codec_fuzz (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  for (guint round = 0; round < 20000; round++)
    {
      guint8 data[256];
      gsize length = (gsize)g_rand_int_range (random, 0, sizeof data);
      for (gsize i = 0; i < length; i++)
        data[i] = (guint8)(g_rand_int_range (random, 0, 4) == 0 ? g_rand_int (random) : 0);
      if (length > 4)
        data[3] = (guint8)g_rand_int_range (random, 0, QUINCE_MESSAGE_LEDGER_LEAD + 2);
      g_autoptr (QuinceMessage) message = quince_message_decode (data, length, NULL);
      g_autoptr (QuinceBatchRecord) record = quince_batch_record_decode (data, length, NULL);
      g_autoptr (QuinceLedgerView) view = quince_ledger_view_decode (data, length, NULL);
    }
}

static void
test_log_quote (void **state)
{
  static const char *const cases[][2] = {
    { "plain", "plain" }, { "a b", "\"a b\"" }, { "a=b", "\"a=b\"" }, { "a\nb", "\"a\\nb\"" }, { "", "\"\"" }
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *quoted = quince_log_quote (cases[i][0]);
      assert_string_equal (quoted, cases[i][1]);
    }
}

/* ---- Links ------------------------------------------------------------- */

/* Runs the default main context until @condition is true; fails after 20 s. */
#define WAIT_UNTIL(condition)                                                                                \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    gint64 wait_deadline_us = g_get_monotonic_time () + 20 * G_USEC_PER_SEC;                                 \
    while (!(condition) && g_get_monotonic_time () < wait_deadline_us)                                       \
      if (!g_main_context_iteration (NULL, FALSE))                                                           \
        g_usleep (200);                                                                                      \
    assert_true (condition);                                                                                 \
  }                                                                                                          \
  G_STMT_END

typedef struct
{
  QuinceLink *accepted;
  guint server_messages;
  guint client_messages;
  int server_closed; /* error code, or -1 while open */
  int client_closed;
} LinkPair;

static void
on_accepted (QuinceLink *link, gpointer data)
{
  ((LinkPair *)data)->accepted = link;
}

static void
on_server_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  ((LinkPair *)data)->server_messages++;
  quince_link_send (link, message);
  quince_message_free (message);
}

static void
on_server_closed (QuinceLink *link, const GError *error, gpointer data)
{
  ((LinkPair *)data)->server_closed = error->code;
}

static void
on_client_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  ((LinkPair *)data)->client_messages++;
  quince_message_free (message);
}

static void
on_client_closed (QuinceLink *link, const GError *error, gpointer data)
{
  ((LinkPair *)data)->client_closed = error->code;
}

static const QuinceLinkCallbacks server_callbacks = { NULL, on_server_message, on_server_closed };
static const QuinceLinkCallbacks client_callbacks = { NULL, on_client_message, on_client_closed };

static void
test_link_echo (void **state)
{
  LinkPair pair = { .server_closed = -1, .client_closed = -1 };
  g_autoptr (QuinceLinkServer) server
      = quince_link_server_new ("127.0.0.1:0", &server_callbacks, on_accepted, &pair, NULL);
  g_autoptr (QuinceLink) link
      = quince_link_connect (quince_link_server_get_address (server), &client_callbacks, &pair);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_ACK };
  for (guint i = 0; i < 5000; i++)
    quince_link_send (link, &message);
  WAIT_UNTIL (pair.client_messages == 5000);
  quince_link_close (link);
  WAIT_UNTIL (pair.server_closed >= 0);
  assert_int_equal (pair.server_closed, QUINCE_LINK_ERROR_CLOSED);
  quince_link_unref (pair.accepted);
}

/* An invalid frame from a peer closes its link with the matching error. */
static void
test_link_malformed (void **state)
{
  static const struct
  {
    guint8 bytes[8];
    int expected;
  } cases[] = { { { 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0 }, QUINCE_LINK_ERROR_TOO_LARGE },
                { { 0, 0, 0, 4, 0, 0, 0, 99 }, QUINCE_LINK_ERROR_MALFORMED } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      LinkPair pair = { .server_closed = -1 };
      g_autoptr (QuinceLinkServer) server
          = quince_link_server_new ("127.0.0.1:0", &server_callbacks, on_accepted, &pair, NULL);
      g_autoptr (GSocketAddress) address
          = quince_address_parse (quince_link_server_get_address (server), NULL);
      g_autoptr (GSocketClient) client = g_socket_client_new ();
      g_autoptr (GSocketConnection) connection
          = g_socket_client_connect (client, G_SOCKET_CONNECTABLE (address), NULL, NULL);
      GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (connection));
      assert_true (g_output_stream_write_all (output, cases[i].bytes, 8, NULL, NULL, NULL));
      WAIT_UNTIL (pair.server_closed >= 0);
      assert_int_equal (pair.server_closed, cases[i].expected);
      quince_link_unref (pair.accepted);
    }
}

static void
test_link_rejects_invalid_address (void **state)
{
  LinkPair pair = { .client_closed = -1 };
  g_autoptr (QuinceLink) bad = quince_link_connect ("nowhere", &client_callbacks, &pair);
  WAIT_UNTIL (pair.client_closed >= 0);
  assert_int_equal (pair.client_closed, QUINCE_LINK_ERROR_ADDRESS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_settings_valid),
    cmocka_unit_test (test_settings_problems),
    cmocka_unit_test (test_settings_report_all_problems),
    cmocka_unit_test (test_codec_rejects_wrong_length),
    cmocka_unit_test (test_codec_fuzz),
    cmocka_unit_test (test_log_quote),
    cmocka_unit_test (test_link_echo),
    cmocka_unit_test (test_link_malformed),
    cmocka_unit_test (test_link_rejects_invalid_address),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
