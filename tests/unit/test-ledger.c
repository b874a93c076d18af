/* test-ledger.c: ledgers with real disks that talk through one main context. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <gio/gio.h>
#include <quince/ledger.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#include "../../lib/ledger/ledger-store.h"
#include "ledger-files.h"

#define MACHINES 4
#define CALL_TIMEOUT_MS 3000
/* Bound of every wait; none of them should come near it. */
#define WAIT_SECONDS 30

static const QuinceConsensusLimits test_limits = {
  .heartbeat_us = 40 * 1000,
  .election_least_us = 250 * 1000,
  .election_most_us = 500 * 1000,
  .dead_after_us = 2 * 1000 * 1000,
  .voters_target = 3,
  .append_most_bytes = 64 * 1024,
};

typedef struct _Cluster Cluster;

typedef struct
{
  Cluster *cluster;
  char *folder;
  char *address;
  char *node;
  QuinceLedger *ledger; /* NULL: stopped                                    */
  QuinceLedgerState state;
  gboolean isolated;
} Machine;

struct _Cluster
{
  char *folder;
  Machine machines[MACHINES];
  GHashTable *replies; /* client → QuinceLedgerReply                        */
  guint64 next_client;
  gboolean expired;
  guint transfers;       /* times that leadership was handed on */
  guint violations;      /* found inside callbacks, where a test must not end    */
  guint disk_checks;     /* append replies whose disk is to be looked at         */
  guint64 last_index;    /* greatest entry index sent or acknowledged       */
  gboolean disks_refuse; /* nothing above last_index may be                 */
};

static Machine *
machine_at (Cluster *cluster, const char *address)
{
  for (guint i = 0; i < MACHINES; i++)
    if (g_str_equal (cluster->machines[i].address, address))
      return &cluster->machines[i];
  return NULL;
}

static void
expect (Cluster *cluster, gboolean holds, const char *what)
{
  if (holds)
    return;
  cluster->violations++;
  print_error ("violated: %s\n", what);
}

/* What an append reply acknowledges must be on the disk when it leaves. */
static void
check_disk (Machine *machine, const QuinceReplication *message)
{
  const QuinceAppendReply *reply = &message->body.QuinceReplicationBody_u.append_reply;
  g_autofree char *folder = g_build_filename (machine->cluster->folder, "copy", NULL);
  g_autoptr (QuinceLedgerContents) contents = NULL;
  g_autoptr (QuinceLedgerStore) store = NULL;

  if (message->body.kind != QUINCE_REPLICATION_APPEND_REPLY || !reply->success
      || machine->cluster->disk_checks == 0)
    return;
  machine->cluster->disk_checks--;
  ledger_files_copy (machine->folder, folder);
  store = quince_ledger_store_open (folder, &contents, NULL);
  expect (machine->cluster, store != NULL, "copied disk opens");
  if (store != NULL)
    {
      expect (machine->cluster, contents->epoch >= reply->epoch, "acknowledged epoch is on disk");
      expect (machine->cluster, contents->snapshot_index + contents->entries->len >= reply->match_index,
              "acknowledged entries are on disk");
    }
  g_clear_pointer (&store, quince_ledger_store_close);
  ledger_files_remove (folder);
}

/* Greatest entry that @message carries or acknowledges; 0 none. */
static guint64
greatest_index (const QuinceReplication *message)
{
  const QuinceAppendReply *reply = &message->body.QuinceReplicationBody_u.append_reply;
  const QuinceAppendRequest *request = &message->body.QuinceReplicationBody_u.append_request;

  if (message->body.kind == QUINCE_REPLICATION_APPEND_REPLY && reply->success)
    return reply->match_index;
  if (message->body.kind == QUINCE_REPLICATION_APPEND_REQUEST && request->entries.entries_len > 0)
    return request->previous_index + request->entries.entries_len;
  return 0;
}

static void
note_index (Cluster *cluster, const QuinceReplication *message)
{
  guint64 index = greatest_index (message);

  expect (cluster, !cluster->disks_refuse || index <= cluster->last_index,
          "nothing is sent that is not on disk");
  cluster->last_index = MAX (cluster->last_index, index);
}

static void
on_send (const char *address, const QuinceReplication *message, gpointer user_data)
{
  Machine *from = user_data;
  Machine *to = machine_at (from->cluster, address);

  check_disk (from, message);
  note_index (from->cluster, message);
  from->cluster->transfers += message->body.kind == QUINCE_REPLICATION_TRANSFER;
  if (to != NULL && to->ledger != NULL && !to->isolated && !from->isolated)
    quince_ledger_receive (to->ledger, quince_replication_copy (message));
}

static void
on_reply (guint64 client, QuinceLedgerReply *reply, gpointer user_data)
{
  Machine *machine = user_data;

  /* Every reply must fit the wire, and there is one for each call. */
  g_autoptr (GBytes) encoded = quince_ledger_reply_encode (reply, NULL);
  expect (machine->cluster, encoded != NULL, "reply can be encoded");
  expect (machine->cluster, !g_hash_table_contains (machine->cluster->replies, &client),
          "one reply for each call");
  g_hash_table_insert (machine->cluster->replies, g_memdup2 (&client, sizeof client), reply);
}

static void
on_state (const QuinceLedgerState *state, gpointer user_data)
{
  ((Machine *)user_data)->state = *state;
}

static const QuinceLedgerCallbacks callbacks = { on_send, on_reply, on_state };

static void
open_machine (Machine *machine)
{
  QuinceReplica self = { 0, machine->node, (char *)"z1", machine->address };
  g_autoptr (GError) error = NULL;

  memset (&machine->state, 0, sizeof machine->state);
  machine->ledger = quince_ledger_open (machine->folder, &self, &test_limits, &callbacks, machine, &error);
  assert_null (error);
}

static void
close_machine (Machine *machine)
{
  QuinceLedger *ledger = machine->ledger;

  quince_ledger_close (ledger);
  machine->ledger = NULL;
}

/* ---- Waiting -------------------------------------------------------- */

static gboolean
on_expired (gpointer user_data)
{
  ((Cluster *)user_data)->expired = TRUE;
  return G_SOURCE_CONTINUE;
}

static gboolean
wait_until (Cluster *cluster,
            gboolean (*condition) (Cluster *cluster, gconstpointer data),
            gconstpointer data)
{
  guint source = g_timeout_add_seconds (WAIT_SECONDS, on_expired, cluster);

  cluster->expired = FALSE;
  while (!condition (cluster, data) && !cluster->expired)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (source);
  return !cluster->expired;
}

static gboolean
has_reply (Cluster *cluster, gconstpointer client)
{
  return g_hash_table_contains (cluster->replies, client);
}

static Machine *
find_leader (Cluster *cluster)
{
  Machine *leader = NULL;

  for (guint i = 0; i < MACHINES; i++)
    {
      Machine *machine = &cluster->machines[i];

      if (machine->ledger != NULL && !machine->isolated && machine->state.role == QUINCE_CONSENSUS_LEADER
          && (leader == NULL || machine->state.epoch > leader->state.epoch))
        leader = machine;
    }
  return leader;
}

static gboolean
has_leader (Cluster *cluster, gconstpointer data)
{
  return find_leader (cluster) != NULL;
}

static Machine *
wait_for_leader (Cluster *cluster)
{
  assert_true (wait_until (cluster, has_leader, NULL));
  return find_leader (cluster);
}

/* ---- Calls ---------------------------------------------------------- */

/* (transfer none): owned by the cluster */
static const QuinceLedgerReply *
call (Machine *machine, const QuinceCommand *command, guint timeout_ms)
{
  Cluster *cluster = machine->cluster;
  QuinceLedgerCall *message = g_new0 (QuinceLedgerCall, 1);
  QuinceCommand *copy = quince_command_copy (command);
  guint64 client = ++cluster->next_client;

  message->call_id = client + 1000;
  message->command = *copy;
  g_free (copy);
  quince_ledger_call (machine->ledger, client, message, timeout_ms);
  assert_true (wait_until (cluster, has_reply, &client));
  const QuinceLedgerReply *reply = g_hash_table_lookup (cluster->replies, &client);
  assert_int_equal (reply->call_id, client + 1000);
  return reply;
}

/* Calls whoever leads until the answer is definite. */
static const QuinceLedgerReply *
call_leader (Cluster *cluster, const QuinceCommand *command)
{
  for (guint attempt = 0; attempt < 50; attempt++)
    {
      const QuinceLedgerReply *reply = call (wait_for_leader (cluster), command, CALL_TIMEOUT_MS);

      if (reply->status != QUINCE_LEDGER_NOT_LEADER && reply->status != QUINCE_LEDGER_UNKNOWN
          && reply->status != QUINCE_LEDGER_BUSY)
        return reply;
      g_usleep (20 * 1000);
      g_main_context_iteration (NULL, FALSE);
    }
  fail_msg ("no definite answer");
  return NULL;
}

static QuinceCommand
claim_of (guint64 id, guint64 holder)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_CLAIM };
  QuinceClaimRequest *claim = &command.QuinceCommand_u.claim;

  memcpy (claim->request_id, &id, sizeof id);
  claim->holder = holder;
  claim->keep_ms = 600 * 1000;
  return command;
}

static QuinceCommand
lease_of (guint most)
{
  QuinceCommand command = { .kind = QUINCE_COMMAND_LEASE };

  command.QuinceCommand_u.lease = (QuinceLeaseSamples){ (char *)"a1", most, 5000 };
  return command;
}

static const QuinceLedgerReply *
submit (Cluster *cluster, const char *rollout, const char *prompt)
{
  QuinceSampleSpec sample = { (char *)"s1", (char *)prompt, 10, 10 };
  QuinceCommand command = { .kind = QUINCE_COMMAND_SUBMIT };

  command.QuinceCommand_u.submit
      = (QuinceSubmitRollout){ (char *)"t1",  (char *)rollout, (char *)"rank-lm", (char *)"m1", 1, 2,
                               { 1, &sample } };
  return call_leader (cluster, &command);
}

/* ---- Cluster -------------------------------------------------------- */

static void
reply_free (gpointer reply)
{
  quince_ledger_reply_free (reply);
}

static int
set_up (void **state)
{
  Cluster *cluster = g_new0 (Cluster, 1);
  QuinceReplica first[3] = { 0 };
  QuinceReplicaSet voters = { { G_N_ELEMENTS (first), first } };

  cluster->folder = g_dir_make_tmp ("quince-ledgers-XXXXXX", NULL);
  cluster->replies = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, reply_free);
  for (guint i = 0; i < MACHINES; i++)
    {
      Machine *machine = &cluster->machines[i];

      machine->cluster = cluster;
      machine->folder = g_strdup_printf ("%s/%u", cluster->folder, i);
      machine->address = g_strdup_printf ("10.0.0.%u:7000", i + 1);
      machine->node = g_strdup_printf ("n%u", i + 1);
    }
  for (guint i = 0; i < G_N_ELEMENTS (first); i++)
    {
      Machine *machine = &cluster->machines[i];

      open_machine (machine);
      first[i] = (QuinceReplica){ quince_ledger_get_replica_id (machine->ledger), machine->node, (char *)"z1",
                                  machine->address };
    }
  for (guint i = 0; i < G_N_ELEMENTS (first); i++)
    quince_ledger_bootstrap (cluster->machines[i].ledger, &voters);
  *state = cluster;
  return 0;
}

static int
tear_down (void **state)
{
  Cluster *cluster = *state;
  guint violations;

  for (guint i = 0; i < MACHINES; i++)
    if (cluster->machines[i].ledger != NULL)
      close_machine (&cluster->machines[i]);
  for (guint i = 0; i < MACHINES; i++)
    {
      Machine *machine = &cluster->machines[i];

      ledger_files_remove (machine->folder);
      g_free (machine->folder);
      g_free (machine->address);
      g_free (machine->node);
    }
  g_rmdir (cluster->folder);
  violations = cluster->violations;
  g_hash_table_unref (cluster->replies);
  g_free (cluster->folder);
  g_free (cluster);
  return violations == 0 ? 0 : -1;
}

/* ---- Tests ---------------------------------------------------------- */

static void
test_calls (void **state)
{
  Cluster *cluster = *state;
  QuinceCommand lease = lease_of (4);
  QuinceCommand claim = claim_of (1, 10);
  QuinceCommand other_claim = claim_of (1, 11);
  const QuinceLedgerReply *reply;

  assert_int_equal (submit (cluster, "r1", "a b c")->status, QUINCE_LEDGER_OK);
  assert_int_equal (submit (cluster, "r1", "a b c")->status, QUINCE_LEDGER_OK);
  assert_int_equal (submit (cluster, "r1", "x y z")->status, QUINCE_LEDGER_CONFLICT);
  assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_OK);
  assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_OK);
  assert_int_equal (call_leader (cluster, &other_claim)->status, QUINCE_LEDGER_DUPLICATE);
  reply = call_leader (cluster, &lease);
  assert_int_equal (reply->status, QUINCE_LEDGER_OK);
  assert_int_equal (reply->result.kind, QUINCE_COMMAND_LEASE);
  assert_int_equal (reply->result.QuinceLedgerResult_u.leased.leased_len, 1);
}

static gboolean
followers_know_leader (Cluster *cluster, gconstpointer data)
{
  const Machine *leader = find_leader (cluster);

  for (guint i = 0; i < 3; i++)
    if (leader == NULL || !g_str_equal (cluster->machines[i].state.leader_address, leader->address))
      return FALSE;
  return TRUE;
}

static void
test_follower_names_the_leader (void **state)
{
  Cluster *cluster = *state;
  QuinceCommand claim = claim_of (1, 10);

  assert_true (wait_until (cluster, followers_know_leader, NULL));
  for (guint i = 0; i < 3; i++)
    {
      Machine *machine = &cluster->machines[i];
      const QuinceLedgerReply *reply;

      if (machine == find_leader (cluster))
        continue;
      reply = call (machine, &claim, CALL_TIMEOUT_MS);
      assert_int_equal (reply->status, QUINCE_LEDGER_NOT_LEADER);
      assert_string_equal (reply->leader, find_leader (cluster)->address);
    }
}

static void
test_isolated_leader_answers_nothing_definite (void **state)
{
  Cluster *cluster = *state;
  Machine *leader = wait_for_leader (cluster);
  QuinceCommand claim = claim_of (1, 10);
  QuinceCommand other_claim = claim_of (1, 11);
  QuinceCommand lease = lease_of (1);
  QuinceLedgerStatus status;

  assert_int_equal (submit (cluster, "r1", "a b c")->status, QUINCE_LEDGER_OK);
  leader->isolated = TRUE;
  status = call (leader, &claim, 300)->status;
  assert_true (status == QUINCE_LEDGER_UNKNOWN || status == QUINCE_LEDGER_NOT_LEADER);
  status = call (leader, &lease, 300)->status;
  assert_true (status == QUINCE_LEDGER_BUSY || status == QUINCE_LEDGER_NOT_LEADER);
  /* The others go on; what the isolated one could not commit gives way. */
  assert_int_equal (call_leader (cluster, &other_claim)->status, QUINCE_LEDGER_OK);
  leader->isolated = FALSE;
  assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_DUPLICATE);
}

static void
test_planned_stop_hands_over (void **state)
{
  Cluster *cluster = *state;
  QuinceCommand claim = claim_of (1, 10);
  QuinceCommand other_claim = claim_of (1, 11);
  Machine *leader;

  assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_OK);
  leader = find_leader (cluster);
  close_machine (leader);
  assert_int_equal (cluster->transfers, 1);
  assert_int_equal (call_leader (cluster, &other_claim)->status, QUINCE_LEDGER_DUPLICATE);
  /* It comes back with its disk, under its own id. */
  open_machine (leader);
  close_machine (find_leader (cluster));
  assert_int_equal (call_leader (cluster, &other_claim)->status, QUINCE_LEDGER_DUPLICATE);
}

static void
test_acknowledged_entries_are_on_disk (void **state)
{
  Cluster *cluster = *state;

  cluster->disk_checks = 60;
  for (guint64 i = 1; cluster->disk_checks > 0; i++)
    {
      QuinceCommand claim = claim_of (i, 10);

      assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_OK);
      assert_int_equal (cluster->violations, 0);
    }
}

static gboolean
has_stopped (Cluster *cluster, gconstpointer machine)
{
  return ((const Machine *)machine)->state.role == QUINCE_CONSENSUS_LEARNER;
}

/* A limit on file sizes stands for a full disk. */
static void
set_disks_refuse (Cluster *cluster, gboolean refuse)
{
  static struct rlimit before;
  struct rlimit limit;

  if (refuse)
    getrlimit (RLIMIT_FSIZE, &before);
  limit = (struct rlimit){ refuse ? 1 : before.rlim_cur, before.rlim_max };
  signal (SIGXFSZ, SIG_IGN);
  assert_int_equal (setrlimit (RLIMIT_FSIZE, &limit), 0);
  cluster->disks_refuse = refuse;
}

/* What is not on disk is neither sent nor answered, and the replica stops. */
static void
test_disk_that_refuses (void **state)
{
  Cluster *cluster = *state;
  QuinceCommand claim = claim_of (1, 10);
  QuinceCommand more = claim_of (2, 10);
  Machine *leader;
  QuinceLedgerStatus status;
  gboolean stopped;

  assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_OK);
  leader = find_leader (cluster);
  set_disks_refuse (cluster, TRUE);
  status = call (leader, &more, CALL_TIMEOUT_MS)->status;
  stopped = wait_until (cluster, has_stopped, leader);
  set_disks_refuse (cluster, FALSE);
  assert_true (status == QUINCE_LEDGER_UNKNOWN || status == QUINCE_LEDGER_NOT_LEADER);
  assert_true (stopped);
  assert_int_equal (cluster->violations, 0);
  assert_int_equal (call (leader, &more, CALL_TIMEOUT_MS)->status, QUINCE_LEDGER_NOT_LEADER);
}

static gboolean
newcomer_is_voter (Cluster *cluster, gconstpointer data)
{
  Machine *newcomer = &cluster->machines[3];

  if (!newcomer->state.bootstrapped)
    quince_ledger_join (newcomer->ledger, cluster->machines[0].address);
  return newcomer->state.role == QUINCE_CONSENSUS_FOLLOWER
         && newcomer->state.commit_index >= *(const guint64 *)data && newcomer->state.n_voters == 3;
}

/* More records than a snapshot waits for; then a machine is lost and an empty one takes its place. */
static void
test_snapshot_and_replacement (void **state)
{
  Cluster *cluster = *state;
  QuinceCommand claim = claim_of (1, 10);
  QuinceCommand other_claim = claim_of (1, 11);
  Machine *leader;
  guint64 wanted;

  assert_int_equal (call_leader (cluster, &claim)->status, QUINCE_LEDGER_OK);
  leader = find_leader (cluster);
  for (guint64 i = 2; i < 6000; i++)
    {
      QuinceCommand more = claim_of (i, 10);
      QuinceLedgerCall *message = g_new0 (QuinceLedgerCall, 1);

      message->command = more;
      quince_ledger_call (leader->ledger, 1000000 + i, message, CALL_TIMEOUT_MS);
    }
  call_leader (cluster, &claim);
  wanted = 5900;
  close_machine (leader == &cluster->machines[2] ? &cluster->machines[1] : &cluster->machines[2]);
  open_machine (&cluster->machines[3]);
  assert_true (wait_until (cluster, newcomer_is_voter, &wanted));
  assert_int_equal (cluster->machines[3].state.counters.claims, 5999);
  /* The newcomer holds the whole book: it and one more are a majority. */
  close_machine (find_leader (cluster));
  assert_int_equal (call_leader (cluster, &other_claim)->status, QUINCE_LEDGER_DUPLICATE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_calls, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_follower_names_the_leader, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_isolated_leader_answers_nothing_definite, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_planned_stop_hands_over, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_acknowledged_entries_are_on_disk, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_disk_that_refuses, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_snapshot_and_replacement, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
