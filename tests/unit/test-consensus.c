/* test-consensus.c: one replica and single messages, malformed ones included. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <quince/consensus.h>

static const QuinceConsensusLimits test_limits = {
  .heartbeat_us = 100 * 1000,
  .election_least_us = 600 * 1000,
  .election_most_us = 1200 * 1000,
  .dead_after_us = 5 * 1000 * 1000,
  .voters_target = 3,
  .append_most_bytes = 64,
};

/* ---- Single messages ------------------------------------------------ */

static QuinceReplica trio[] = {
  { 1, "n1", "z1", "10.0.0.1:7000" },
  { 2, "n2", "z2", "10.0.0.2:7000" },
  { 3, "n3", "z3", "10.0.0.3:7000" },
};

static QuinceConsensus *
trio_member (guint at, GPtrArray *effects)
{
  QuinceReplicaSet voters = { { G_N_ELEMENTS (trio), trio } };
  QuinceConsensus *consensus = quince_consensus_new (&test_limits, &trio[at], NULL, 7, 0);

  quince_consensus_bootstrap (consensus, 0, &voters, effects);
  return consensus;
}

/* The only (or last) sent message of @kind; (nullable). */
static const QuinceReplicationBody *
last_sent (GPtrArray *effects, QuinceReplicationKind kind)
{
  for (guint i = effects->len; i > 0; i--)
    {
      const QuinceEffect *effect = g_ptr_array_index (effects, i - 1);

      if (effect->kind == QUINCE_EFFECT_SEND && effect->message->body.kind == kind)
        return &effect->message->body;
    }
  return NULL;
}

static guint
count_effects (GPtrArray *effects, QuinceEffectKind kind)
{
  guint count = 0;

  for (guint i = 0; i < effects->len; i++)
    count += ((QuinceEffect *)g_ptr_array_index (effects, i))->kind == kind;
  return count;
}

typedef struct
{
  const char *name;
  guint64 epoch, previous_index, previous_epoch;
  guint n_entries;
  guint64 first_index, entry_epoch;
  QuinceEntryKind kind;
} MalformedAppend;

/* To a replica in epoch 2 with entries 1 and 2 of epoch 2, both committed. */
static const MalformedAppend malformed_appends[] = {
  { "gap after previous", 2, 2, 2, 1, 5, 2, QUINCE_ENTRY_RECORD },
  { "entry without epoch", 2, 2, 2, 1, 3, 0, QUINCE_ENTRY_RECORD },
  { "entry of a later epoch", 2, 2, 2, 1, 3, 9, QUINCE_ENTRY_RECORD },
  { "entry of an earlier epoch than its predecessor", 2, 2, 2, 1, 3, 1, QUINCE_ENTRY_RECORD },
  { "previous beyond the log, without epoch", 2, 90, 0, 1, 91, 2, QUINCE_ENTRY_RECORD },
  { "greatest index", 2, G_MAXUINT64, 0, 1, 0, 2, QUINCE_ENTRY_RECORD },
  { "voters that do not decode", 2, 2, 2, 1, 3, 2, QUINCE_ENTRY_VOTERS },
  { "contradicts what is committed", 3, 1, 2, 1, 2, 3, QUINCE_ENTRY_RECORD },
};

static void
append (QuinceConsensus *consensus,
        guint64 to,
        const MalformedAppend *row,
        guint64 commit,
        GPtrArray *effects)
{
  char text[] = "x";
  QuinceEntry entries[2] = { 0 };
  QuinceReplication message = { .from = 2, .to = to, .body.kind = QUINCE_REPLICATION_APPEND_REQUEST };
  QuinceAppendRequest *request = &message.body.QuinceReplicationBody_u.append_request;

  for (guint i = 0; i < row->n_entries; i++)
    entries[i] = (QuinceEntry){ row->first_index + i, row->entry_epoch, row->kind, { 1, text } };
  *request = (QuinceAppendRequest){ row->epoch, 2, row->previous_index,        row->previous_epoch,
                                    commit,     1, { row->n_entries, entries } };
  quince_consensus_receive (consensus, 1000, &message, effects);
}

static void
test_malformed_appends (void **state)
{
  static const MalformedAppend good = { "", 2, 0, 0, 2, 1, 2, QUINCE_ENTRY_RECORD };

  for (gsize i = 0; i < G_N_ELEMENTS (malformed_appends); i++)
    {
      g_autoptr (GPtrArray) before = quince_effects_new ();
      g_autoptr (GPtrArray) effects = quince_effects_new ();
      g_autoptr (QuinceConsensus) consensus = trio_member (0, before);

      append (consensus, 1, &good, 2, before);
      assert_int_equal (quince_consensus_get_commit_index (consensus), 2);
      append (consensus, 1, &malformed_appends[i], 99, effects);
      print_message ("malformed append: %s\n", malformed_appends[i].name);
      assert_int_equal (count_effects (effects, QUINCE_EFFECT_PERSIST_ENTRIES), 0);
      assert_int_equal (quince_consensus_get_last_index (consensus), 2);
      assert_int_equal (quince_consensus_get_commit_index (consensus), 2);
    }
}

/* A deposed leader's append changes nothing, not even entries that are not committed. */
static void
test_old_leader_is_refused (void **state)
{
  static const MalformedAppend newer = { "", 2, 0, 0, 2, 1, 2, QUINCE_ENTRY_RECORD };
  static const MalformedAppend older = { "", 1, 0, 0, 1, 1, 1, QUINCE_ENTRY_RECORD };
  g_autoptr (GPtrArray) before = quince_effects_new ();
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, before);
  const QuinceAppendReply *reply;

  append (consensus, 1, &newer, 0, before);
  append (consensus, 1, &older, 1, effects);
  reply = &last_sent (effects, QUINCE_REPLICATION_APPEND_REPLY)->QuinceReplicationBody_u.append_reply;
  assert_false (reply->success);
  assert_int_equal (reply->epoch, 2);
  assert_int_equal (count_effects (effects, QUINCE_EFFECT_PERSIST_ENTRIES), 0);
  assert_int_equal (quince_consensus_get_last_index (consensus), 2);
  assert_int_equal (quince_consensus_get_commit_index (consensus), 0);
}

static void
test_message_to_another_disk_is_dropped (void **state)
{
  static const MalformedAppend good = { "", 2, 0, 0, 2, 1, 2, QUINCE_ENTRY_RECORD };
  g_autoptr (GPtrArray) before = quince_effects_new ();
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, before);

  append (consensus, 77, &good, 2, effects);
  assert_int_equal (effects->len, 0);
}

static void
request_vote (QuinceConsensus *consensus,
              guint64 candidate,
              guint64 epoch,
              guint64 last_index,
              guint64 last_epoch,
              gboolean trial,
              gint64 now_us,
              GPtrArray *effects)
{
  QuinceReplication message = { .from = candidate, .to = 1, .body.kind = QUINCE_REPLICATION_VOTE_REQUEST };

  message.body.QuinceReplicationBody_u.vote_request
      = (QuinceVoteRequest){ epoch, candidate, last_index, last_epoch, trial, FALSE };
  quince_consensus_receive (consensus, now_us, &message, effects);
}

static void
test_one_vote_in_an_epoch (void **state)
{
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, effects);

  request_vote (consensus, 2, 5, 0, 0, FALSE, 0, effects);
  assert_true (
      last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted);
  request_vote (consensus, 3, 5, 9, 4, FALSE, 0, effects);
  assert_false (
      last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted);
  request_vote (consensus, 2, 5, 0, 0, FALSE, 0, effects);
  assert_true (
      last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted);
}

static void
test_no_vote_for_a_shorter_log (void **state)
{
  static const MalformedAppend good = { "", 2, 0, 0, 2, 1, 2, QUINCE_ENTRY_RECORD };
  static const struct
  {
    guint64 last_index, last_epoch;
    gboolean granted;
  } rows[] = { { 1, 2, FALSE }, { 9, 1, FALSE }, { 2, 2, TRUE }, { 1, 3, TRUE } };

  for (gsize i = 0; i < G_N_ELEMENTS (rows) * 2; i++)
    {
      gboolean trial = i % 2 == 0;
      g_autoptr (GPtrArray) effects = quince_effects_new ();
      g_autoptr (QuinceConsensus) consensus = trio_member (0, effects);

      append (consensus, 1, &good, 0, effects);
      request_vote (consensus, 3, 9, rows[i / 2].last_index, rows[i / 2].last_epoch, trial, 3000 * 1000,
                    effects);
      assert_int_equal (
          last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted,
          rows[i / 2].granted);
    }
}

static void
test_pre_vote_changes_nothing (void **state)
{
  static const MalformedAppend heartbeat = { "", 2, 0, 0, 0, 0, 0, QUINCE_ENTRY_RECORD };
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, effects);

  append (consensus, 1, &heartbeat, 0, effects);
  /* A live leader is heard: neither a trial nor a vote unseats it. */
  request_vote (consensus, 3, 9, 0, 0, TRUE, 2000, effects);
  assert_false (
      last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted);
  request_vote (consensus, 3, 9, 0, 0, FALSE, 2000, effects);
  assert_false (
      last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted);
  assert_int_equal (quince_consensus_get_epoch (consensus), 2);
  /* It is silent: the trial is granted, and still nothing has changed. */
  request_vote (consensus, 3, 9, 0, 0, TRUE, 900 * 1000, effects);
  assert_true (
      last_sent (effects, QUINCE_REPLICATION_VOTE_REPLY)->QuinceReplicationBody_u.vote_reply.granted);
  assert_int_equal (quince_consensus_get_epoch (consensus), 2);
}

static void
reply_to (QuinceConsensus *consensus, guint64 from, guint64 epoch, guint64 match_index, GPtrArray *effects)
{
  QuinceReplication message = { .from = from, .to = 1, .body.kind = QUINCE_REPLICATION_APPEND_REPLY };

  message.body.QuinceReplicationBody_u.append_reply
      = (QuinceAppendReply){ epoch, from, TRUE, match_index, 0 };
  quince_consensus_receive (consensus, 3000 * 1000, &message, effects);
}

static void
grant_vote (QuinceConsensus *consensus, guint64 from, guint64 epoch, gboolean trial, GPtrArray *effects)
{
  QuinceReplication message = { .from = from, .to = 1, .body.kind = QUINCE_REPLICATION_VOTE_REPLY };

  message.body.QuinceReplicationBody_u.vote_reply = (QuinceVoteReply){ epoch, from, TRUE, trial };
  quince_consensus_receive (consensus, 3000 * 1000, &message, effects);
}

/* Makes @consensus (replica 1) leader of epoch @epoch at 3 s. */
static void
elect (QuinceConsensus *consensus, guint64 epoch, GPtrArray *effects)
{
  quince_consensus_tick (consensus, 3000 * 1000, effects);
  grant_vote (consensus, 3, epoch, TRUE, effects);
  grant_vote (consensus, 3, epoch, FALSE, effects);
  assert_int_equal (quince_consensus_get_role (consensus), QUINCE_CONSENSUS_LEADER);
}

static void
test_transfer_waits_until_caught_up (void **state)
{
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, effects);
  guint64 last;

  elect (consensus, 1, effects);
  reply_to (consensus, 3, 1, 1, effects);
  last = quince_consensus_propose (consensus, 3000 * 1000, "x", 1, effects);
  quince_consensus_transfer (consensus, 3000 * 1000, effects);
  assert_null (last_sent (effects, QUINCE_REPLICATION_TRANSFER));
  assert_int_equal (quince_consensus_propose (consensus, 3000 * 1000, "y", 1, effects), 0);
  reply_to (consensus, 3, 1, last, effects);
  assert_non_null (last_sent (effects, QUINCE_REPLICATION_TRANSFER));
}

static void
test_leader_without_majority_steps_down (void **state)
{
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, effects);

  elect (consensus, 1, effects);
  quince_consensus_tick (consensus, 3000 * 1000 + test_limits.election_most_us, effects);
  assert_int_equal (quince_consensus_get_role (consensus), QUINCE_CONSENSUS_LEADER);
  quince_consensus_tick (consensus, 3000 * 1000 + test_limits.election_most_us + 1, effects);
  assert_int_equal (quince_consensus_get_role (consensus), QUINCE_CONSENSUS_FOLLOWER);
}

/* Raft's figure 8: an entry of an earlier epoch is not committed by counting its copies. */
static void
test_old_epoch_is_not_committed_by_counting (void **state)
{
  static const MalformedAppend old = { "", 2, 0, 0, 2, 1, 2, QUINCE_ENTRY_RECORD };
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = trio_member (0, effects);

  append (consensus, 1, &old, 0, effects);
  elect (consensus, 3, effects);
  reply_to (consensus, 3, 3, 2, effects);
  assert_int_equal (quince_consensus_get_commit_index (consensus), 0);
  reply_to (consensus, 3, 3, 3, effects);
  assert_int_equal (quince_consensus_get_commit_index (consensus), 3);
}

/* A follower of the set {1, 3} whose VOTERS entry (index 1, epoch 2) is committed. */
static QuinceConsensus *
pair_member (GPtrArray *effects)
{
  QuinceReplica pair[] = { trio[0], trio[2] };
  QuinceReplicaSet voters = { { G_N_ELEMENTS (pair), pair } };
  g_autoptr (GBytes) encoded = quince_replica_set_encode (&voters, NULL);
  QuinceEntry entry = {
    1, 2, QUINCE_ENTRY_VOTERS, { g_bytes_get_size (encoded), (char *)g_bytes_get_data (encoded, NULL) }
  };
  QuinceReplication message = { .from = 3, .to = 1, .body.kind = QUINCE_REPLICATION_APPEND_REQUEST };
  QuinceConsensus *consensus = quince_consensus_new (&test_limits, &trio[0], NULL, 7, 0);

  quince_consensus_bootstrap (consensus, 0, &voters, effects);
  message.body.QuinceReplicationBody_u.append_request
      = (QuinceAppendRequest){ 2, 3, 0, 0, 1, 1, { 1, &entry } };
  quince_consensus_receive (consensus, 1000, &message, effects);
  assert_int_equal (quince_consensus_get_commit_index (consensus), 1);
  return consensus;
}

/* Ongaro's correction of single-server changes: none before an entry of the own epoch is committed. */
static void
test_voters_wait_for_own_epoch (void **state)
{
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = pair_member (effects);
  QuinceReplication join = { .from = 2, .to = 1, .body.kind = QUINCE_REPLICATION_JOIN };

  elect (consensus, 3, effects);
  join.body.QuinceReplicationBody_u.join.replica = trio[1];
  quince_consensus_receive (consensus, 3000 * 1000, &join, effects);
  reply_to (consensus, 2, 3, 2, effects);
  quince_consensus_tick (consensus, 3200 * 1000, effects);
  assert_int_equal (quince_consensus_get_voters (consensus)->voters.voters_len, 2);
  reply_to (consensus, 3, 3, 2, effects);
  quince_consensus_tick (consensus, 3400 * 1000, effects);
  assert_int_equal (quince_consensus_get_voters (consensus)->voters.voters_len, 3);
}

static void
test_empty_replica_waits (void **state)
{
  g_autoptr (GPtrArray) effects = quince_effects_new ();
  g_autoptr (QuinceConsensus) consensus = quince_consensus_new (&test_limits, &trio[0], NULL, 7, 0);

  for (gint64 now_us = 0; now_us < 20 * 1000 * 1000; now_us += 50 * 1000)
    quince_consensus_tick (consensus, now_us, effects);
  assert_int_equal (quince_consensus_get_role (consensus), QUINCE_CONSENSUS_LEARNER);
  assert_int_equal (effects->len, 0);
  assert_int_equal (quince_consensus_propose (consensus, 0, "x", 1, effects), 0);
  assert_int_equal (quince_consensus_confirm (consensus, 0, effects), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_malformed_appends),
    cmocka_unit_test (test_old_leader_is_refused),
    cmocka_unit_test (test_no_vote_for_a_shorter_log),
    cmocka_unit_test (test_transfer_waits_until_caught_up),
    cmocka_unit_test (test_leader_without_majority_steps_down),
    cmocka_unit_test (test_message_to_another_disk_is_dropped),
    cmocka_unit_test (test_one_vote_in_an_epoch),
    cmocka_unit_test (test_pre_vote_changes_nothing),
    cmocka_unit_test (test_old_epoch_is_not_committed_by_counting),
    cmocka_unit_test (test_voters_wait_for_own_epoch),
    cmocka_unit_test (test_empty_replica_waits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
