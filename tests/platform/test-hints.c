/*
 * test-hints.c: what another replica read of the operator's keys reaches a leader that the store turns away.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <quince/belief-feed.h>
#include <quince/link.h>

#include "platform.h"

/* Nobody listens there. */
#define NO_STORE "127.0.0.1:1"

typedef struct
{
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceLink *accepted;
  guint received;
} Leader;

static const QuinceObserverCallbacks no_callbacks = { 0 };

static void
leader_init (Leader *leader)
{
  *leader = (Leader){ 0 };
  leader->store = quince_meta_store_new (NO_STORE, &quince_platform_meta_dialect);
  leader->backends = quince_backends_new ("z1");
  leader->observer = quince_observer_new (leader->store, leader->backends, 100, &no_callbacks, NULL);
}

static void
leader_clear (Leader *leader)
{
  quince_observer_free (leader->observer);
  quince_meta_store_free (leader->store);
  quince_backends_free (leader->backends);
}

/* (transfer full) */
static QuinceMetaPage *
page_of (const char *key, const char *value, guint64 revision)
{
  QuinceMetaPage *page = g_new0 (QuinceMetaPage, 1);
  page->items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  page->revision = revision;
  QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
  item->key = g_strdup (key);
  item->revision = revision;
  item->value = g_bytes_new (value, strlen (value));
  g_ptr_array_add (page->items, item);
  return page;
}

static void
test_versions_only_rise (void **state)
{
  Leader leader;
  leader_init (&leader);
  g_autoptr (QuinceMetaPage) third
      = page_of ("op/version/model-a", "{\"model\":\"model-a\",\"version\":3}", 9);
  g_autoptr (QuinceMetaPage) second
      = page_of ("op/version/model-a", "{\"model\":\"model-a\",\"version\":2}", 7);
  quince_observer_hint (leader.observer, third);
  assert_int_equal (quince_observer_get_version (leader.observer, "model-a"), 3);
  quince_observer_hint (leader.observer, second); /* late */
  assert_int_equal (quince_observer_get_version (leader.observer, "model-a"), 3);
  /* The store is still read from its start. */
  guint64 revisions[QUINCE_OBSERVER_PREFIXES];
  quince_observer_get_revisions (leader.observer, revisions);
  assert_int_equal (revisions[0], 0);
  leader_clear (&leader);
}

static void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  Leader *leader = data;
  leader->received++;
  if (message->kind == QUINCE_MESSAGE_BELIEF_NEWS)
    quince_belief_feed_take_hint (leader->observer, &message->QuinceMessage_u.belief_news);
  quince_message_free (message);
}

static void
on_accepted (QuinceLink *link, gpointer data)
{
  ((Leader *)data)->accepted = link;
}

static const QuinceLinkCallbacks link_callbacks = { .message = on_message };

/* Workers are not told: what goes away and comes back must be read in order. */
static void
test_hints_over_a_link (void **state)
{
  Leader leader;
  leader_init (&leader);
  g_autoptr (QuinceLinkServer) server
      = quince_link_server_new ("127.0.0.1:0", &link_callbacks, on_accepted, &leader, NULL);
  g_autoptr (QuinceLink) link
      = quince_link_connect (quince_link_server_get_address (server), &link_callbacks, &leader);
  g_autoptr (QuinceMetaPage) worker = page_of ("servers/w1", "{}", 4);
  g_autoptr (QuinceMetaPage) version
      = page_of ("op/version/model-a", "{\"model\":\"model-a\",\"version\":5}", 5);
  quince_belief_feed_hint (leader.observer, link, "servers/", worker);
  quince_belief_feed_hint (leader.observer, link, "op/", version);
  while (leader.received == 0)
    g_main_context_iteration (NULL, TRUE);
  assert_int_equal (leader.received, 1);
  assert_int_equal (quince_observer_get_version (leader.observer, "model-a"), 5);
  quince_link_close (link);
  quince_link_unref (leader.accepted);
  leader_clear (&leader);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_versions_only_rise),
    cmocka_unit_test (test_hints_over_a_link),
  };
  return cmocka_run_group_tests_name ("hints", tests, NULL, NULL);
}
