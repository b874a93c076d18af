/*
 * baseline-weights.c: brings new weights to the engines in the plainest way:
 * one engine after the other, each lets its running work end first.
 */
#include "baseline.h"

#include <quince/engine-admin.h>
#include <quince/log.h>
#include <quince/task.h>
#include <quince/weight-store.h>

#define POLL_MS 100
#define CALL_TIMEOUT_MS 2000
#define SWAP_TIMEOUT_MS 30000

struct _BaselineWeights
{
  Baseline *baseline;
  char *store;    /* ip:port                                 */
  guint64 latest; /* version that this round brings          */
  guint place;    /* engine that this round has come to      */
  GSource *pause; /* until the next round                    */
  GCancellable *cancellable;
};

static void visit_engine (BaselineWeights *weights);

static void
go_to_next (BaselineWeights *weights)
{
  weights->place++;
  visit_engine (weights);
}

static const BaselineEngine *
get_engine (const BaselineWeights *weights)
{
  return weights->baseline->engines->pdata[weights->place];
}

static void
on_activated (const GError *error, gpointer user_data)
{
  BaselineWeights *weights = user_data;
  if (error != NULL)
    quince_log_warning ("swap_failed", "engine=%s reason=\"%s\"", get_engine (weights)->name, error->message);
  go_to_next (weights);
}

static void
on_staged (const GError *error, gpointer user_data)
{
  BaselineWeights *weights = user_data;
  if (error != NULL)
    {
      go_to_next (weights);
      return;
    }
  quince_engine_admin_activate (weights->baseline->session, get_engine (weights)->address, weights->latest, 1,
                                "wait", SWAP_TIMEOUT_MS, weights->cancellable, on_activated, weights);
}

static void
on_load (const QuinceEngineLoad *load, const GError *error, gpointer user_data)
{
  BaselineWeights *weights = user_data;
  if (load == NULL || load->weight_version >= weights->latest)
    go_to_next (weights);
  else
    quince_engine_admin_stage (weights->baseline->session, get_engine (weights)->address, weights->latest, 1,
                               SWAP_TIMEOUT_MS, weights->cancellable, on_staged, weights);
}

static void
on_latest (guint64 latest, const GError *error, gpointer user_data)
{
  BaselineWeights *weights = user_data;
  weights->latest = latest;
  weights->place = 0;
  visit_engine (weights);
}

static gboolean
start_round (gpointer user_data)
{
  BaselineWeights *weights = user_data;
  quince_source_clear (&weights->pause);
  quince_weight_store_get_latest (weights->baseline->session, weights->store, CALL_TIMEOUT_MS,
                                  weights->cancellable, on_latest, weights);
  return G_SOURCE_REMOVE;
}

static void
visit_engine (BaselineWeights *weights)
{
  if (weights->place >= weights->baseline->engines->len)
    weights->pause = quince_timer_add (POLL_MS, start_round, weights);
  else
    quince_engine_admin_get_load (weights->baseline->session, get_engine (weights)->address, CALL_TIMEOUT_MS,
                                  weights->cancellable, on_load, weights);
}

BaselineWeights *
baseline_weights_new (Baseline *baseline, const char *store)
{
  BaselineWeights *weights = g_new0 (BaselineWeights, 1);
  weights->baseline = baseline;
  weights->store = g_strdup (store);
  weights->cancellable = g_cancellable_new ();
  weights->pause = quince_timer_add (POLL_MS, start_round, weights);
  return weights;
}

void
baseline_weights_free (BaselineWeights *weights)
{
  g_cancellable_cancel (weights->cancellable);
  g_object_unref (weights->cancellable);
  quince_source_clear (&weights->pause);
  g_free (weights->store);
  g_free (weights);
}
