/*
 * test-event-parser.c: the data of events of a worker's stream.  Guards against line feeds at the start of an
 * event's data that are lost, so that a result is complete with another text than the worker made.
 */
#include "await.h"
#include "platform.h"

typedef struct
{
  const char *bytes;
  const char *data;
} EventCase;

static const EventCase cases[] = {
  { "id: 7\ndata: a\n\n", "a" },
  { "id: 7\ndata:\ndata:\ndata: station\n\n", "\n\nstation" },
  { "id: 7\ndata: \ndata: team\n\n", "\nteam" },
  { "id: 7\ndata\ndata: team\n\n", "\nteam" },
  { "id: 7\ndata:\ndata:\ndata:\n\n", "\n\n" },
  { "id: 7\ndata: a\ndata:\ndata: b\ndata:\n\n", "a\n\nb\n" },
  { "data:\nid: 7\nweight-versions: 3\ndata: x\n\n", "\nx" },
  { "id: 7\r\ndata:\r\ndata: x\r\n\r\n", "\nx" },
  { "id: 7\ndata:\n\n", "" },
  { "id: 7\n\n", "" },
  { "id: 7\ndatabase: x\ndata: y\n\n", "y" },
};

/* Feeds the bytes in two parts; @split: length of the first one */
static void
check_case (const EventCase *c, gsize split)
{
  QuincePlatformEventParser *parser = quince_platform_event_parser_new ();
  QuincePlatformEvent event = { 0 };
  quince_platform_event_parser_feed (parser, c->bytes, split);
  assert_false (quince_platform_event_parser_next_event (parser, &event, NULL));
  quince_platform_event_parser_feed (parser, c->bytes + split, strlen (c->bytes) - split);
  assert_true (quince_platform_event_parser_next_event (parser, &event, NULL));
  assert_int_equal (event.id, 7);
  assert_string_equal (event.data->str, c->data);
  assert_string_equal (event.bytes, c->bytes);
  quince_platform_event_clear (&event);
  quince_platform_event_parser_free (parser);
}

static void
test_data (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (gsize split = 0; split < strlen (cases[i].bytes); split++)
      check_case (&cases[i], split);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_data) };
  return cmocka_run_group_tests_name ("event-parser", tests, NULL, NULL);
}
