/*
 * zone-world.h: a deployment of three zones that bears the loss of two machines or of one zone, and what its
 * callers were told.
 */
#pragma once

#define ZONES 3
#define PATH_FRONTS ZONES
/* Two in each zone, and one that a test adds. */
#define ZONE_REPLICAS (2 * ZONES)
#define ZONE_ADDED ZONE_REPLICAS
#define PATH_REPLICAS (ZONE_REPLICAS + 1)
#define PATH_PLAIN ZONES
#define PATH_MODEL (2 * ZONES)
#include "protocol/codec.h"

#include "path-world.h"

#define ZONE_NAMES "z1=r,z2=r,z3=r"
#define ZONE_LOSSES "losses=2\nzone_losses=1"
#define ZONE_MEMBERS 5
#define ZONE_MEMBERS_MAX 2
/* After its last sign of life a worker's entry goes, ms: the users' platform takes about as long. */
#define ZONE_LAPSE_MS 1000
#define ZONE_ITEMS 6
#define ZONE_TEXT "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""

static const char *const zone_names[ZONES] = { "z1", "z2", "z3" };

typedef struct
{
  char *id;
  gint64 taken_us;  /* when its 202 came */
  GPtrArray *texts; /* of the results, each as it was first read */
} ZoneBatch;

typedef struct
{
  PathWorld *path;
  GPtrArray *batches; /* ZoneBatch, owned: those that were acknowledged */
  guint lapses[ZONES];
  guint incarnations;
  guint serial;
} ZoneWorld;

typedef struct
{
  ZoneWorld *world;
  guint zone;
} ZoneLapse;

static inline void
zone_batch_free (gpointer data)
{
  ZoneBatch *batch = data;
  g_free (batch->id);
  g_ptr_array_unref (batch->texts);
  g_free (batch);
}

static inline guint
zone_of_replica (const ZoneWorld *world, guint replica)
{
  for (guint i = 0; i < ZONES; i++)
    if (strcmp (world->path->replica_zones[replica], zone_names[i]) == 0)
      return i;
  return 0;
}

static inline StandinWorker *
zone_worker (ZoneWorld *world, guint index)
{
  return index < PATH_PLAIN ? world->path->plain[index] : world->path->model[index - PATH_PLAIN];
}

/* Puts the processes and workers of @path, of which none runs, into the zones. */
static inline ZoneWorld *
zone_world_of (PathWorld *path)
{
  ZoneWorld *world = g_new0 (ZoneWorld, 1);
  world->path = path;
  world->batches = g_ptr_array_new_with_free_func (zone_batch_free);
  path->zones = ZONE_NAMES;
  path->losses = ZONE_LOSSES;
  for (guint i = 0; i < PATH_FRONTS; i++)
    path->front_zones[i] = zone_names[i % ZONES];
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path->replica_zones[i] = zone_names[i % ZONES];
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    standin_worker_set_zone (zone_worker (world, i), zone_names[i % ZONES]);
  return world;
}

static inline ZoneWorld *
zone_world_new (const char *name)
{
  ZoneWorld *world = zone_world_of (path_world_new (name));
  path_reserve_links (world->path);
  return world;
}

static inline void
zone_world_free (ZoneWorld *world)
{
  for (guint i = 0; i < ZONES; i++)
    if (world->lapses[i] != 0)
      g_source_remove (world->lapses[i]);
  g_ptr_array_unref (world->batches);
  path_world_free (world->path);
  g_free (world);
}

/* ---- Members of the ledger -------------------------------------------------- */

/* Which replica a member of the view is, by its name. */
static inline guint
zone_replica_of (const QuinceLedgerMember *member)
{
  return (guint)g_ascii_strtoull (member->node + strlen ("replica-"), NULL, 10);
}

/* (transfer full): NULL: there is none */
static inline QuinceLedgerView *
zone_view (const ZoneWorld *world)
{
  g_autoptr (GBytes) bytes = standin_store_get_bytes (world->path->store, "quinceroute/ledger");
  if (bytes == NULL)
    return NULL;
  gsize length;
  gconstpointer data = g_bytes_get_data (bytes, &length);
  return quince_ledger_view_decode (data, length, NULL);
}

/* Whether the disk that a member of the view stands for is the one that its process has now. */
static inline gboolean
zone_has_its_disk (const ZoneWorld *world, const QuinceLedgerMember *member)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.out", world->path->folder, member->node);
  g_autofree char *disk
      = g_strdup_printf ("event=disk_opened replica=%" G_GUINT64_FORMAT " ", (guint64)member->replica);
  g_autofree char *text = NULL;
  return g_file_get_contents (file, &text, NULL, NULL) && strstr (text, disk) != NULL;
}

/* All members that are wanted, with their disks, without more in a zone than may be lost. */
static inline gboolean
zone_is_spread (const ZoneWorld *world)
{
  guint counts[ZONES] = { 0 };
  QuinceLedgerView *view = zone_view (world);
  gboolean spread = view != NULL && view->members.members_len == ZONE_MEMBERS;
  for (guint i = 0; spread && i < view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &view->members.members_val[i];
      spread = zone_has_its_disk (world, member)
               && ++counts[zone_of_replica (world, zone_replica_of (member))] <= ZONE_MEMBERS_MAX;
    }
  g_clear_pointer (&view, quince_ledger_view_free);
  return spread;
}

static inline gboolean
zone_is_member (const ZoneWorld *world, guint replica)
{
  QuinceLedgerView *view = zone_view (world);
  gboolean is_member = FALSE;
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    is_member = is_member || zone_replica_of (&view->members.members_val[i]) == replica;
  g_clear_pointer (&view, quince_ledger_view_free);
  return is_member;
}

/* Returns: the replica that leads. */
static inline guint
zone_leader (const ZoneWorld *world)
{
  QuinceLedgerView *view = zone_view (world);
  assert_non_null (view);
  guint leader = PATH_REPLICAS;
  for (guint i = 0; i < view->members.members_len; i++)
    if (view->members.members_val[i].replica == view->primary)
      leader = zone_replica_of (&view->members.members_val[i]);
  quince_ledger_view_free (view);
  assert_true (leader < PATH_REPLICAS);
  return leader;
}

static inline guint
zone_of_leader (const ZoneWorld *world)
{
  return zone_of_replica (world, zone_leader (world));
}

static inline void
zone_world_start (ZoneWorld *world)
{
  PathWorld *path = world->path;
  path_configure (path, 7);
  path_register_workers (path);
  for (guint i = 0; i < ZONE_REPLICAS; i++)
    path_start_replica (path, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (path, i);
  path->bootstrapped = TRUE;
  AWAIT (zone_is_spread (world));
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (path_status (path_front (path, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
      AWAIT (path_status (path_front (path, i), "POST", "/l/1", "q", "x") == 200);
    }
}

/* ---- A zone that is lost ---------------------------------------------------- */

static inline gboolean
zone_lapse (gpointer data)
{
  const ZoneLapse *lapse = data;
  ZoneWorld *world = lapse->world;
  world->lapses[lapse->zone] = 0;
  for (guint i = lapse->zone; i < PATH_PLAIN + PATH_MODEL; i += ZONES)
    {
      g_autofree char *key = g_strconcat ("servers/", standin_worker_get_id (zone_worker (world, i)), NULL);
      standin_store_remove (world->path->store, key);
    }
  return G_SOURCE_REMOVE;
}

/* All of its processes, disks and workers, at once. */
static inline void
zone_lose (ZoneWorld *world, guint zone)
{
  PathWorld *path = world->path;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (path->replicas[i] != NULL && zone_of_replica (world, i) == zone)
      quince_process_kill (path->replicas[i]);
  quince_process_kill (path->fronts[zone]);
  for (guint i = zone; i < PATH_PLAIN + PATH_MODEL; i += ZONES)
    standin_worker_crash (zone_worker (world, i));
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (path->replicas[i] != NULL && zone_of_replica (world, i) == zone)
      path_delete_replica_data (path, i);
  ZoneLapse *lapse = g_new0 (ZoneLapse, 1);
  *lapse = (ZoneLapse){ world, zone };
  world->lapses[zone] = g_timeout_add_full (G_PRIORITY_DEFAULT, ZONE_LAPSE_MS, zone_lapse, lapse, g_free);
}

/* Its machines start again, with empty disks, and its workers as other incarnations. */
static inline void
zone_return (ZoneWorld *world, guint zone)
{
  PathWorld *path = world->path;
  AWAIT (world->lapses[zone] == 0);
  for (guint i = zone; i < PATH_PLAIN + PATH_MODEL; i += ZONES)
    {
      g_autofree char *id = g_strdup_printf ("w%u-%u", i, ++world->incarnations);
      standin_worker_restart (zone_worker (world, i), id);
    }
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (path->replicas[i] != NULL && zone_of_replica (world, i) == zone)
      path_start_replica (path, i);
  path_start_front (path, zone);
  for (guint i = zone; i < PATH_PLAIN + PATH_MODEL; i += ZONES)
    {
      g_autofree char *key = g_strconcat ("servers/", standin_worker_get_id (zone_worker (world, i)), NULL);
      g_autofree char *entry
          = standin_worker_make_entry (zone_worker (world, i), i < PATH_PLAIN ? "svc" : "llm", "ready");
      standin_store_put (path->store, key, entry);
    }
}

/* ---- What callers were told ------------------------------------------------- */

/* A lookup as a caller sends it: once more where it was refused. */
static inline gboolean
zone_serves (ZoneWorld *world, guint front)
{
  for (guint i = 0; i < 2; i++)
    {
      g_autofree char *id = g_strdup_printf ("look-%u", world->serial++);
      if (path_status (path_front (world->path, front), "POST", "/l/1", id, "x") == 200)
        return TRUE;
    }
  return FALSE;
}

/* A batch that is acknowledged, by one of the fronts in turn that are not in @lost (ZONES: none is). */
static inline ZoneBatch *
zone_submit (ZoneWorld *world, guint lost)
{
  ZoneBatch *batch = g_new0 (ZoneBatch, 1);
  batch->id = g_strdup_printf ("b%u", world->batches->len);
  batch->texts = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *text = path_make_batch (batch->id, ZONE_ITEMS);
  guint front = world->batches->len;
  AWAIT (++front % ZONES != lost
         && path_status (path_front (world->path, front % ZONES), "POST", "/r/batch", batch->id, text)
                == 202);
  batch->taken_us = g_get_monotonic_time ();
  g_ptr_array_add (world->batches, batch);
  return batch;
}

/* One result of a listing, without what stands between it and the next. */
static inline void
zone_trim_result (char *text)
{
  char *end = strrchr (text, '}');
  if (end != NULL && g_str_has_suffix (text, "]}"))
    end[-1] = '\0';
  else if (g_str_has_suffix (text, ","))
    text[strlen (text) - 1] = '\0';
}

/* Reads @batch from its start: what was read before is there, at its position and with its content.
 * Returns: how many results there are; G_MAXUINT: they cannot be read at the moment */
static inline guint
zone_read (ZoneWorld *world, guint front, ZoneBatch *batch)
{
  g_autofree char *text = path_fetch_results (world->path, front, batch->id);
  if (text == NULL)
    return G_MAXUINT;
  const char *at = strstr (text, "\"results\":[");
  assert_non_null (at);
  g_auto (GStrv) results = g_strsplit (at, "{\"id\":\"", -1);
  guint count = g_strv_length (results) - 1;
  if (count < batch->texts->len)
    fail_msg ("batch %s has %u results of %u that were read; logs in %s", batch->id, count, batch->texts->len,
              world->path->folder);
  for (guint i = 0; i < count; i++)
    {
      zone_trim_result (results[i + 1]);
      if (i == batch->texts->len)
        g_ptr_array_add (batch->texts, g_strdup (results[i + 1]));
      else
        assert_string_equal (batch->texts->pdata[i], results[i + 1]);
    }
  return count;
}

static inline void
zone_await_whole (ZoneWorld *world, guint front, ZoneBatch *batch)
{
  AWAIT (zone_read (world, front, batch) == ZONE_ITEMS);
}

/* Runs of the items of @batch at all workers, and when the first one began. */
static inline guint
zone_runs (ZoneWorld *world, const ZoneBatch *batch, gint64 *first_us)
{
  g_autofree char *prefix = g_strdup_printf ("%s-i", batch->id);
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (zone_worker (world, i));
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          if (!g_str_has_prefix (run->id, prefix))
            continue;
          if (first_us != NULL && (count == 0 || run->received_us < *first_us))
            *first_us = run->received_us;
          count++;
        }
    }
  return count;
}

static inline gboolean
zone_was_run (ZoneWorld *world, const char *id)
{
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (zone_worker (world, i));
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (((const StandinRun *)runs->pdata[j])->id, id) == 0)
          return TRUE;
    }
  return FALSE;
}

/* Each item is listed once, with the whole text of runs that a worker remembers. */
static inline void
zone_check_results (ZoneWorld *world, const ZoneBatch *batch)
{
  for (guint i = 0; i < ZONE_ITEMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-i%u", batch->id, i);
      g_autofree char *start = g_strconcat (id, "\"", NULL);
      guint listed = 0;
      for (guint j = 0; j < batch->texts->len; j++)
        listed += g_str_has_prefix (batch->texts->pdata[j], start);
      assert_int_equal (listed, 1);
      assert_true (zone_was_run (world, id));
    }
  for (guint i = 0; i < batch->texts->len; i++)
    {
      const char *text = batch->texts->pdata[i];
      if (strstr (text, ZONE_TEXT) == NULL || strstr (text, "\"state\":\"completed\"") == NULL)
        fail_msg ("batch %s: %s; logs in %s", batch->id, text, world->path->folder);
    }
}

/* All that was acknowledged is there, whole, once, at every front, and nothing of it runs any more. */
static inline void
zone_check_all (ZoneWorld *world)
{
  for (guint i = 0; i < world->batches->len; i++)
    for (guint front = 0; front < PATH_FRONTS; front++)
      zone_await_whole (world, front, world->batches->pdata[i]);
  g_autofree guint *runs = g_new0 (guint, world->batches->len);
  for (guint i = 0; i < world->batches->len; i++)
    {
      zone_check_results (world, world->batches->pdata[i]);
      runs[i] = zone_runs (world, world->batches->pdata[i], NULL);
    }
  run_for (500);
  for (guint i = 0; i < world->batches->len; i++)
    assert_int_equal (zone_runs (world, world->batches->pdata[i], NULL), runs[i]);
}
