/*
 * replica.c: creates, steps and frees the parts of a replica.
 */
#include "replica.h"

#include "runtime/timer.h"
#include "runtime/program.h"
#include "runtime/suspension.h"

#include "replica-leadership.h"
#include "replica-parts.h"
#include "replica-setup.h"
#include "replica-store-events.h"

/* Delay between the stop signal and the exit, in which queued messages are sent. */
#define STOP_DELAY_MS 50
/* Interval of step().  It also bounds how much progress of samples a new leader must repeat. */
#define STEP_INTERVAL_MS 200

typedef struct
{
  /* All fields belong to the main context. */
  QuinceReplicaParts parts;
  QuinceTimer *timer; /* calls step(); after quince_replica_stop() it calls quit_process() */
  QuinceSuspensionWatch *suspension;
} Replica;

static gboolean
step (gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_batch_service_send_progress (parts->batches);
  quince_replica_leadership_step_residency (parts->leadership);
  quince_order_records_step (parts->order_records);
  if (parts->usage != NULL)
    quince_usage_collector_step (parts->usage);
  if (parts->scaler != NULL)
    quince_worker_scaler_step (parts->scaler);
  quince_quarantine_coordinator_step (parts->quarantine);
  quince_warmup_coordinator_step (parts->warmup);
  quince_feed_service_step (parts->feed);
  quince_member_feed_wait_check (parts->member_feed_wait, parts->ledger);
  quince_observer_set_reserve_reader (parts->observer, quince_replica_is_reserve_reader (parts));
  quince_retirement_step (parts->retirement);
  return G_SOURCE_CONTINUE;
}

/* After a suspension cached data may be stale, and peers may have closed connections unnoticed. */
static void
handle_resume (gint64 suspended_us, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_meta_store_handle_resume (parts->store);
  quince_backends_handle_resume (parts->backends);
  quince_observer_handle_resume (parts->observer);
}

gpointer
quince_replica_start (const QuinceSettings *settings, GError **error)
{
  g_autoptr (QuinceTopology) topology = quince_topology_new_from_settings (settings, error);
  if (topology == NULL)
    return NULL;
  Replica *replica = g_new0 (Replica, 1);
  quince_replica_setup_create (&replica->parts, settings, g_steal_pointer (&topology));
  if (!quince_replica_setup_open (&replica->parts, settings, error))
    {
      quince_replica_free (replica);
      return NULL;
    }
  replica->timer = quince_timer_add (STEP_INTERVAL_MS, step, &replica->parts);
  replica->suspension = quince_suspension_watch_new (handle_resume, &replica->parts);
  return replica;
}

char *
quince_replica_ready_line (gpointer self)
{
  const Replica *replica = self;
  return g_strdup_printf ("name=%s", replica->parts.name);
}

static gboolean
quit_process (gpointer data)
{
  quince_program_quit (QUINCE_EXIT_OK);
  return G_SOURCE_REMOVE;
}

void
quince_replica_stop (gpointer self)
{
  Replica *replica = self;
  quince_timer_clear (&replica->timer);
  replica->timer = quince_timer_add (STOP_DELAY_MS, quit_process, replica);
}

/* Handles %NULL parts after a failed start.  Frees each part before the parts that it uses. */
static void
free_parts (QuinceReplicaParts *parts)
{
  quince_text_server_free (parts->metrics);
  quince_replica_leadership_release (parts->leadership);
  quince_usage_collector_free (parts->usage);
  quince_worker_scaler_free (parts->scaler);
  quince_heartbeats_free (parts->heartbeats);
  quince_batch_service_free (parts->batches);
  quince_model_placement_free (parts->placement);
  quince_progress_store_free (parts->progress);
  quince_progress_file_close (parts->progress_file);
  quince_progress_copies_free (parts->progress_copies);
  quince_retirement_free (parts->retirement);
  quince_order_records_free (parts->order_records);
  quince_ledger_node_free (parts->ledger);
  quince_batch_memory_free (parts->batch_memory); /* after the links, which hold frames */
  quince_residency_coordinator_free (parts->residency);
  quince_feed_service_free (parts->feed);
  quince_member_feed_wait_free (parts->member_feed_wait);
  quince_observer_free (parts->observer);
  quince_meta_store_free (parts->store);
  quince_quarantine_coordinator_free (parts->quarantine);
  quince_warmup_coordinator_free (parts->warmup);
  quince_backends_free (parts->backends);
  quince_replica_leadership_free (parts->leadership);
  g_free (parts->name);
}

void
quince_replica_free (gpointer self)
{
  Replica *replica = self;
  quince_suspension_watch_free (replica->suspension);
  quince_timer_clear (&replica->timer);
  free_parts (&replica->parts);
  g_free (replica);
}
