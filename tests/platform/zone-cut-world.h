/*
 * zone-cut-world.h: three zones of which one is cut from the others, while it still reaches callers, its own
 * workers and the metadata store.
 */
#pragma once

#include "zone-world.h"

#include "relayed-world.h"

#define ROUNDS 2
#define ROUND_MS 300
/* In which what was acknowledged must be there again at machines in touch, ms: bounds of the users' sheets.
 */
#define CONTACT_MS 4000

typedef struct
{
  RelayedWorld *relayed;
  ZoneWorld *zones;
  guint zone; /* that is cut */
} Cut;

static inline guint
cut_zone_of_process (const Cut *cut, guint process)
{
  return process < PATH_FRONTS ? process % ZONES : zone_of_replica (cut->zones, process - PATH_FRONTS);
}

static inline guint
cut_zone_of_end (const Cut *cut, guint end)
{
  if (end < RELAYED_PLAIN (0))
    return zone_of_replica (cut->zones, end - RELAYED_REPLICA (0));
  return (end < RELAYED_MODEL (0) ? end - RELAYED_PLAIN (0) : end - RELAYED_MODEL (0)) % ZONES;
}

static inline void
cut_set (Cut *cut, gboolean held)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    for (guint j = RELAYED_STORE + 1; j < RELAYED_N_TARGETS; j++)
      if ((cut_zone_of_process (cut, i) == cut->zone) != (cut_zone_of_end (cut, j) == cut->zone))
        relayed_set_paused (cut->relayed, i, j, held);
}

static inline Cut
cut_start (const char *name, guint replicas)
{
  Cut cut = { .relayed = relayed_world_new (name) };
  cut.zones = zone_world_of (cut.relayed->path);
  path_register_workers (cut.relayed->path);
  for (guint i = 0; i < replicas; i++)
    relayed_start_process (cut.relayed, RELAYED_REPLICA_PROCESS (i));
  for (guint i = 0; i < PATH_FRONTS; i++)
    relayed_start_process (cut.relayed, i);
  cut.relayed->path->bootstrapped = TRUE;
  relayed_await_service (cut.relayed);
  AWAIT (zone_is_spread (cut.zones));
  zone_await_whole (cut.zones, 0, zone_submit (cut.zones, ZONES));
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (cut.relayed->path->model[i], 6, 100);
  return cut;
}

static inline void
cut_end (Cut *cut)
{
  PathWorld *path = cut->relayed->path;
  g_ptr_array_unref (cut->zones->batches);
  g_free (cut->zones);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    for (guint j = 0; j < RELAYED_N_TARGETS; j++)
      standin_relay_free (cut->relayed->relays[i][j]);
  g_free (cut->relayed);
  path_world_free (path);
}

/* The cut zone says nothing of what was acknowledged that is not so: neither that it is not there, nor less
 * than was read elsewhere. */
static inline void
cut_look_from_inside (Cut *cut, ZoneBatch *batch)
{
  g_autofree char *target = g_strdup_printf ("/quinceroute/lots/%s?afterRev=0", batch->id);
  guint status = path_status (path_front (cut->relayed->path, cut->zone), "GET", target, "q", NULL);
  if (status != 200 && status != 503)
    fail_msg ("batch %s: status %u inside; logs in %s", batch->id, status, cut->relayed->path->folder);
  if (status == 200)
    zone_read (cut->zones, cut->zone, batch);
}

/* Lookups go on in all zones, batches elsewhere; what was running is made. */
static inline void
cut_work_through (Cut *cut, ZoneBatch *open)
{
  guint outside = (cut->zone + 1) % ZONES;
  gint64 cut_us = g_get_monotonic_time ();
  for (guint i = 0; i < PATH_FRONTS; i++)
    assert_true (zone_serves (cut->zones, i));
  ZoneBatch *next = zone_submit (cut->zones, cut->zone);
  gint64 first_us = 0;
  AWAIT (zone_runs (cut->zones, next, &first_us) > 0);
  print_message ("  next acknowledgement %" G_GINT64_FORMAT " ms, first run %" G_GINT64_FORMAT
                 " ms after the cut\n",
                 (next->taken_us - cut_us) / 1000, (first_us - cut_us) / 1000);
  zone_await_whole (cut->zones, outside, open);
  zone_await_whole (cut->zones, outside, next);
  for (guint i = 0; i < ROUNDS; i++)
    {
      for (guint j = 0; j < PATH_FRONTS; j++)
        assert_true (zone_serves (cut->zones, j));
      cut_look_from_inside (cut, i == 0 ? next : open);
      run_for (ROUND_MS);
    }
}

static inline void
cut_join (Cut *cut)
{
  gint64 joined_us = g_get_monotonic_time ();
  cut_set (cut, FALSE);
  zone_await_whole (cut->zones, cut->zone, cut->zones->batches->pdata[0]);
  gint64 took_ms = (g_get_monotonic_time () - joined_us) / 1000;
  print_message ("  joined after %" G_GINT64_FORMAT " ms\n", took_ms);
  assert_true (took_ms < CONTACT_MS);
  AWAIT (zone_is_spread (cut->zones));
  zone_await_whole (cut->zones, cut->zone, zone_submit (cut->zones, ZONES));
  zone_check_all (cut->zones);
}
