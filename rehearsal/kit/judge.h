/*
 * judge.h: compares what callers were told with what the engines did.
 *
 * Only the records of the stand-ins and of the callers count; the service's
 * own word does not.
 */
#pragma once

#include <json-glib/json-glib.h>

#include "cluster.h"
#include "load.h"

G_BEGIN_DECLS

typedef void (*QuinceRecordsFunc) (JsonNode *records, gpointer user_data);

/* Calls @each with the records of every process of @engine: those it shows now, and those
 * that crashed processes left.  Returns: processes whose records could not be read */
guint quince_engine_foreach_records (QuinceCluster *cluster,
                                     QuinceClusterPart *engine,
                                     QuinceRecordsFunc each,
                                     gpointer user_data);

/* How often each engine was made to start each request id. */
typedef struct _QuinceEvidence QuinceEvidence;

/* Reads /_records of every engine, and what crashed processes of engines left. */
QuinceEvidence *quince_evidence_collect (QuinceCluster *cluster);
void quince_evidence_free (QuinceEvidence *evidence);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceEvidence, quince_evidence_free)

guint quince_evidence_count_starts (const QuinceEvidence *evidence, const char *request_id);
/* Processes of engines whose records could not be read. */
guint quince_evidence_count_missing (const QuinceEvidence *evidence);

typedef struct
{
  guint requests;
  guint answered; /* whole and their own                             */
  guint on_time;
  guint refused; /* not run                                         */
  guint unknown;
  guint cut;
  guint unanswered;         /* no final answer within the bound                */
  guint wrong;              /* broken promise: partial or foreign answer       */
  guint ran_though_refused; /* broken promise: "not run", but it ran       */
  guint repeated;           /* broken promise: must not be repeated, ran twice */
  gint64 p50_us;            /* of whole answers                                */
  gint64 p99_us;
} QuinceVerdictOfCalls;

void quince_judge_calls (GPtrArray *calls, const QuinceEvidence *evidence, QuinceVerdictOfCalls *out);
/* One line a broken promise on @stream-like callback; for test messages. (transfer full) */
char *quince_judge_describe (const QuinceVerdictOfCalls *verdict);

G_END_DECLS
