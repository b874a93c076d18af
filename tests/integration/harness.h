/*
 * harness.h: a small deployment of real processes for each integration test,
 * with nodes and engines behind the fault proxy, and a judge that is outside
 * the service: engines' starts, trainers' samples, callers' answers.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cluster.h"
#include "http-sync.h"
#include "judge.h"
#include "load.h"
#include "productions.h"

G_BEGIN_DECLS

/* Longest wait for a condition; far above what any needs. */
#define HARNESS_WAIT_MS 60000

/* Waits until @condition holds once; bounded.  It may hold no longer afterwards. */
#define HARNESS_AWAIT(condition)                                                                             \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    gint64 harness_end = g_get_monotonic_time () + HARNESS_WAIT_MS * 1000;                                   \
    gboolean harness_held;                                                                                   \
    while (!(harness_held = (condition)) && g_get_monotonic_time () < harness_end)                           \
      g_usleep (5000);                                                                                       \
    if (!harness_held)                                                                                       \
      fail_msg ("never came true: %s", #condition);                                                          \
  }                                                                                                          \
  G_STMT_END

/**
 * harness_start:
 * @extra: (nullable): more text for the deployment file, for example a [trainer t] section
 *
 * Three zones with one node (ledger replica) and one agent each, four engines of
 * service "model", one policy accepted from examples/policies/default.lua.
 * Fails the test when it cannot serve.
 */
QuinceCluster *harness_start (const char *test_name, const char *extra);
/* As above with the zones that the sections in @zones describe. */
QuinceCluster *harness_start_zones (const char *test_name, const char *zones, const char *extra);
/* Stops everything; fails the test when a process crashed or ended with an unexpected status, and
 * else removes the folder. */
void harness_stop (QuinceCluster *cluster);

/* The part must be there. */
QuinceClusterPart *harness_get_part (QuinceCluster *cluster, QuincePartKind kind, guint index);

/* Removes a folder with all it holds. */
void harness_remove_folder (const char *path);

/* The deployment's only trainer plan in @extra, started. */
QuinceClusterPart *harness_start_trainer (QuinceCluster *cluster);
/* Counter of a trainer's own records, such as "delivered"; -1 when it cannot be read. */
gint64 harness_trainer_count (QuinceClusterPart *trainer, const char *name);
/* Waits for the trainer's last step and asserts: all delivered, none lost, duplicated, too old or wrong. */
void harness_assert_trained (QuinceCluster *cluster, QuinceClusterPart *trainer, guint steps, guint samples);

/* @requests lookups spread over @spread_ms, through all agents in turn. */
void harness_add_lookups (QuinceCluster *cluster,
                          QuinceLoad *load,
                          guint requests,
                          guint tokens,
                          gboolean repeatable,
                          gboolean stream,
                          guint delay_ms,
                          guint spread_ms);

/* Runs @load on a thread of its own, so that the test makes faults meanwhile. */
typedef struct _HarnessLoad HarnessLoad;
HarnessLoad *harness_run_load (QuinceLoad *load);
void harness_join_load (HarnessLoad *running);

/* Asserts the promises to callers: no wrong or foreign answer, none "not run" that ran, none
 * repeated that must not be, each with its final answer.  Returns the verdict. */
QuinceVerdictOfCalls harness_assert_calls (QuinceCluster *cluster, QuinceLoad *load);

/* As above over all calls of @loads (QuinceLoad) together: an id may be in several. */
void harness_assert_all_calls (QuinceCluster *cluster, GPtrArray *loads);
/* @copy becomes the same request as @call, sent by another caller. */
void harness_copy_call (const QuinceCall *call, QuinceCall *copy);

/* Counter of an engine's own records, such as "outcomes.cut"; 0 when it cannot be read. */
gint64 harness_engine_count (QuinceClusterPart *engine, const char *path);
/* Sequences that have started on an engine and not ended. */
gint64 harness_engine_running (QuinceClusterPart *engine);

/* Sequences that an engine started later than that, by its own records. */
guint harness_count_starts_after (QuinceClusterPart *engine, gint64 time_ms);

/* Starts @part again on its addresses; fails the test when it does not serve. */
void harness_restart (QuinceCluster *cluster, QuinceClusterPart *part);
/* Waits until the ledger has a leader, and each node and agent is ready. */
void harness_await_ready (QuinceCluster *cluster);

/* Policy revision in force on a node by its own status; 0 none or unreachable. */
gint64 harness_policy_revision (QuinceClusterPart *node);
gboolean harness_policy_everywhere (QuinceCluster *cluster, gint64 revision);

/* Runs the operator's acceptance of the policy file at @path; fails the test when it is refused.
 * Returns: the new revision */
gint64 harness_accept_policy (QuinceCluster *cluster, const char *path);
/* Of the operator command's @output; 0 when it accepted nothing. */
gint64 harness_read_revision (const char *output);

/* Reads the policy revision of processes all the time, a thread for each; none may ever decrease. */
typedef struct _HarnessWatch HarnessWatch;
/* Of all nodes and agents. */
HarnessWatch *harness_watch_new (QuinceCluster *cluster);
void harness_watch_free (HarnessWatch *watch);
void harness_watch_part (HarnessWatch *watch, QuinceClusterPart *part);
/* Whether all were last read at @revision, but those of @except_zone (nullable). */
gboolean harness_watch_is_at (HarnessWatch *watch, gint64 revision, const char *except_zone);
void harness_watch_assert_never_back (HarnessWatch *watch);

/* A node other than the two given (nullable). */
QuinceClusterPart *harness_get_other_node (QuinceCluster *cluster,
                                           const QuinceClusterPart *one,
                                           const QuinceClusterPart *another);
/* /v1/status of a node. (transfer full) (nullable) */
JsonNode *harness_read_status (QuinceClusterPart *node);
/* Each segment of the delivered @sample was made by that engine under that version. */
void
harness_assert_produced (const QuinceProductions *productions, const char *prompt_hash, JsonNode *sample);

G_END_DECLS
