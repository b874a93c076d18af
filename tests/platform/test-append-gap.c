/*
 * test-append-gap.c: guards against a backup that acknowledges records which its log lacks.  The test acts
 * as the leader.
 */
#include "path-world.h"

#include "meta/meta-store.h"
#include "platform.h"
#include "runtime/link.h"

#define LEADER_REPLICA_ID 11
#define N_RECORDS 3
/* Less than the 1 s without heartbeats after which backups consider a leader failed. */
#define HEARTBEAT_INTERVAL_MS 50
/* Longer than the delivery of a message over loopback. */
#define DELIVERY_WAIT_MS 300

typedef struct
{
  PathWorld *world;
  QuinceMetaStore *store;
  QuinceLinkServer *server;
  QuinceLink *link;          /* the backup's newest link; NULL: closed */
  GPtrArray *accepted_links; /* QuinceLink, owned */
  guint n_hellos;
  guint64 backup_replica;
  guint64 backup_last_index; /* last index of its log in its latest hello */
  guint64 acked_index;       /* highest acknowledged index */
  gboolean view_is_written;  /* the store has confirmed the last write of the view */
} FakeLeader;

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  FakeLeader *leader = data;
  if (message->kind == QUINCE_MESSAGE_LEDGER_HELLO)
    {
      leader->link = link;
      leader->n_hellos++;
      leader->backup_replica = message->QuinceMessage_u.ledger_hello.member.replica;
      leader->backup_last_index = message->QuinceMessage_u.ledger_hello.last_index;
    }
  else if (message->kind == QUINCE_MESSAGE_LEDGER_ACK)
    leader->acked_index = MAX (leader->acked_index, message->QuinceMessage_u.ledger_ack.last_index);
  quince_message_free (message);
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  FakeLeader *leader = data;
  if (leader->link == link)
    leader->link = NULL;
}

static const QuinceLinkCallbacks link_callbacks = { .message = link_message, .closed = link_closed };

static void
link_accepted (QuinceLink *link, gpointer data)
{
  g_ptr_array_add (((FakeLeader *)data)->accepted_links, link);
}

static void
view_written (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  assert_null (error);
  ((FakeLeader *)data)->view_is_written = TRUE;
}

/* Writes a view of @epoch with the leader as its only member. */
static void
write_view (FakeLeader *leader, guint64 epoch)
{
  QuinceLedgerMember member = { .replica = LEADER_REPLICA_ID,
                                .node = (char *)"leader",
                                .address = (char *)quince_link_server_get_address (leader->server) };
  QuinceLedgerView view = { .epoch = epoch, .primary = LEADER_REPLICA_ID };
  view.members.members_len = 1;
  view.members.members_val = &member;
  g_autoptr (GBytes) value = quince_ledger_view_encode (&view, NULL);
  const QuinceMetaChange change = { .key = "quinceroute/ledger", .expected_revision = -1, .value = value };
  leader->view_is_written = FALSE;
  quince_meta_store_change (leader->store, &change, 1, view_written, leader);
  AWAIT (leader->view_is_written);
}

/* Sends the first @n_records records, or a heartbeat if it is 0.  The message states an end of N_RECORDS. */
static void
send_append (FakeLeader *leader, guint64 epoch, guint n_records)
{
  QuinceLogEntry entries[N_RECORDS] = { 0 };
  for (guint i = 0; i < n_records; i++)
    {
      entries[i] = (QuinceLogEntry){ .index = i + 1, .epoch = epoch };
      entries[i].record.record_val = (char *)"record";
      entries[i].record.record_len = strlen ("record");
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_APPEND };
  QuinceLedgerAppend *append = &message.QuinceMessage_u.ledger_append;
  append->epoch = epoch;
  append->replica = leader->backup_replica;
  append->end_index = N_RECORDS;
  append->held_index = N_RECORDS;
  append->entries.entries_val = entries;
  append->entries.entries_len = n_records;
  if (leader->link != NULL)
    quince_link_send (leader->link, &message);
}

static void
leader_start (FakeLeader *leader)
{
  *leader = (FakeLeader){ .world = path_world_new ("append-gap"), .accepted_links = g_ptr_array_new () };
  leader->server = quince_link_server_new ("127.0.0.1:0", &link_callbacks, link_accepted, leader, NULL);
  assert_non_null (leader->server);
  leader->store
      = quince_meta_store_new (standin_store_get_address (leader->world->store), &quince_platform_meta_codec);
  leader->world->bootstrapped = TRUE;
  write_view (leader, 1);
  path_start_replica (leader->world, 0);
  AWAIT (leader->n_hellos == 1 && leader->link != NULL);
}

static void
leader_stop (FakeLeader *leader)
{
  for (guint i = 0; i < leader->accepted_links->len; i++)
    {
      quince_link_close (leader->accepted_links->pdata[i]);
      quince_link_unref (leader->accepted_links->pdata[i]);
    }
  g_ptr_array_unref (leader->accepted_links);
  quince_link_server_free (leader->server);
  quince_meta_store_free (leader->store);
  path_world_free (leader->world);
}

/* A restarted leader sends records of a new epoch to a backup that still has the previous view.  The backup
 * rejects them, and must not acknowledge them once it reads the new view. */
static void
test_append_before_view_change (void **state)
{
  FakeLeader leader;
  leader_start (&leader);
  send_append (&leader, 2, N_RECORDS);
  run_for (DELIVERY_WAIT_MS);
  assert_int_equal (leader.acked_index, 0);
  write_view (&leader, 2);
  while (leader.n_hellos == 1 && leader.acked_index == 0)
    {
      send_append (&leader, 2, 0);
      run_for (HEARTBEAT_INTERVAL_MS);
    }
  assert_int_equal (leader.acked_index, 0);
  AWAIT (leader.link != NULL && leader.n_hellos >= 2);
  assert_int_equal (leader.backup_last_index, 0);
  send_append (&leader, 2, N_RECORDS);
  AWAIT (leader.acked_index == N_RECORDS);
  leader_stop (&leader);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_append_before_view_change),
  };
  return cmocka_run_group_tests_name ("append-gap", tests, NULL, NULL);
}
