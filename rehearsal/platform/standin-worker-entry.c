/*
 * standin-worker-entry.c: the worker's entry in the metadata store.
 */
#include "standin-worker-private.h"

void
standin_worker_set_zone_and_slots (StandinWorker *worker, const char *zone, guint slots)
{
  standin_worker_set_zone (worker, zone);
  worker->slots = slots;
}

void
standin_worker_set_zone (StandinWorker *worker, const char *zone)
{
  g_free (worker->zone);
  worker->zone = g_strdup (zone);
}

void
standin_worker_set_software_version (StandinWorker *worker, const char *software_version)
{
  g_free (worker->software_version);
  worker->software_version = g_strdup (software_version);
}

void
standin_worker_set_cold_remaining (StandinWorker *worker, gint cold_remaining_ms)
{
  worker->cold_remaining_ms = cold_remaining_ms;
}

char *
standin_worker_make_entry (const StandinWorker *worker, const char *service, const char *state)
{
  g_autofree char *cold_member = worker->cold_remaining_ms >= 0
                                     ? g_strdup_printf ("\"coldRemainingMs\":%d,", worker->cold_remaining_ms)
                                     : g_strdup ("");
  return g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,"
      "\"state\":\"%s\",%s\"stage\":\"hybrid\",\"models\":[{\"name\":\"" STANDIN_MODEL_NAME
      "\",\"version\":%" G_GUINT64_FORMAT ",\"adapters\":[]}],\"seq\":1,\"born\":%" G_GINT64_FORMAT "}",
      service, standin_worker_get_address (worker), worker->zone, worker->software_version, worker->slots,
      state, cold_member, worker->version, worker->started_at_ms);
}
