/*
 * test-power-loss-soak.c: all replicas lose power while steps are being accepted, with the disks of up to two
 * members, amid other faults.  Guards against reads that are refused, and items that no worker gets, after
 * all faults have ended.
 *
 * Environment: SOAK_SEED and SOAK_STEPS, see soak-seeds.h; SOAK_CORES: cores for all processes; SOAK_READ_MS:
 * time for which the batches are read; SOAK_PADDING: bytes added to each event of a sample.
 */
#include <sched.h>

#include "power-loss-world.h"
#include "soak-seeds.h"

/* Loses power and two disks of a view of four members. */
#define DEFAULT_SEED 10010
#define FAULT_STEPS 30
#define FAULT_STEP_MS 150
/* After so long without faults no read is refused. */
#define CALM_MS 10000
#define READ_MS 5000
/* A handover takes about 0.2 s. */
#define CHANGE_MAX_MS 400
/* A member is replaced after 1 s of silence. */
#define SILENCE_MAX_MS 1800
#define POWER_SILENT 4
#define READ_INTERVAL_MS 1000
/* After an answer 429, by which a leader puts off reads on a busy link (about as long as it asks for), and
 * after a part of the results. */
#define PUT_OFF_INTERVAL_MS 300
#define HTTP_STATUS_PUT_OFF 429

/* A read of one batch at one front, again and again. */
typedef struct
{
  PathAnswer answer;
  gboolean waits;
  gint64 started_us;
  gint64 last_refused_us; /* 0: never */
  guint last_status;
  guint put_off;
  guint refused;  /* in calm */
  guint position; /* of the next result to read */
  gboolean whole; /* all results were read */
} Read;

static guint
get_number (const char *variable, guint default_value)
{
  const char *text = g_getenv (variable);
  return text != NULL ? (guint)atoi (text) : default_value;
}

/* ---- Faults ------------------------------------------------------------------- */

static void
step (PowerWorld *world)
{
  guint lot = power_draw (world, 0, 100);
  if (lot < 45)
    power_submit (world);
  else if (lot < 52)
    power_publish_version (world);
  else if (lot < 60)
    power_set_random_store_fault (world);
  else if (lot < 70)
    power_heal_store (world);
  else if (lot < 80)
    power_suspend (world, power_draw_replica (world));
  else if (lot < 90)
    power_resume_all (world);
  else if (lot < 95)
    power_retire (world, power_draw_replica (world));
  else
    {
      guint replica = power_draw_replica (world);
      quince_process_kill (world->path->replicas[replica]);
      world->suspended[replica] = FALSE;
      path_start_replica (world->path, replica);
    }
  power_record_accepted (world);
  run_for (FAULT_STEP_MS);
}

/* Ends some batch while nobody may be able to record that; any answer is allowed, but there is one. */
static void
end_some_batch (PowerWorld *world)
{
  guint number = power_draw (world, 0, POWER_BATCHES);
  g_autofree char *target = g_strdup_printf ("/quinceroute/lots/b%u", number);
  const char *front = path_front (world->path, power_draw (world, 0, PATH_FRONTS));
  world->batches[number].ended = TRUE;
  print_message ("  end of b%u in trouble: %u\n", number, path_status (front, "DELETE", target, "q", NULL));
}

/* Makes the leader change the members, and waits until a moment of that change. */
static void
begin_change (PowerWorld *world)
{
  guint kind = power_draw (world, 0, 3);
  power_resume_all (world);
  if (kind == 0)
    power_retire (world, power_get_leader (world));
  for (guint i = 0; kind == 1 && i < POWER_SILENT; i++)
    power_suspend (world, power_draw_replica (world));
  run_for (power_draw (world, 0, kind == 1 ? SILENCE_MAX_MS : CHANGE_MAX_MS));
}

static void
lose_power (PowerWorld *world, gboolean with_fronts)
{
  guint disks = power_draw (world, 0, POWER_LOSSES + 1);
  begin_change (world);
  power_kill_replicas (world);
  if (with_fronts)
    power_kill_fronts (world);
  power_record_accepted (world);
  power_delete_disks (world, disks);
  if (power_draw (world, 0, 2) == 0)
    power_set_random_store_fault (world);
  power_start_replicas (world);
  for (guint i = 0; with_fronts && i < PATH_FRONTS; i++)
    path_start_front (world->path, i);
  run_for (power_draw (world, 0, 3000));
  if (!with_fronts && power_draw (world, 0, 2) == 0)
    end_some_batch (world);
  power_heal_store (world);
}

/* ---- Reads -------------------------------------------------------------------- */

/* Notes that @count results came from the position on.  A large batch comes in several answers; once it is
 * whole it is read from its start again. */
static void
record_results (Read *read, guint count)
{
  read->position += count;
  read->whole = read->whole || read->position == POWER_ITEMS;
  if (count == 0 || read->position == POWER_ITEMS)
    read->position = 0;
}

static void
record_answer (Read *read, guint batch, guint front, gint64 calm_us)
{
  if (!read->waits || !read->answer.done)
    return;
  read->waits = FALSE;
  read->last_status = read->answer.status;
  if (read->answer.status == 200)
    record_results (read, path_count_occurrences (read->answer.body, "\"state\":"));
  else if (read->answer.status == HTTP_STATUS_PUT_OFF)
    read->put_off++;
  else
    read->last_refused_us = read->started_us;
  if (read->last_refused_us == read->started_us && read->started_us > calm_us && read->refused++ == 0)
    print_message ("  b%u at front %u: %u in calm\n", batch, front, read->answer.status);
  path_answer_clear (&read->answer);
}

static void
start_read (PowerWorld *world, Read *read, guint batch, guint front)
{
  if (read->waits)
    return;
  g_autofree char *target = g_strdup_printf ("/quinceroute/lots/b%u?afterRev=%u", batch, read->position);
  read->waits = TRUE;
  read->started_us = g_get_monotonic_time ();
  path_start_call (path_front (world->path, front), "GET", target, "q", NULL, &read->answer);
}

static gboolean
is_due (const Read *read, gint64 now_us)
{
  gint64 interval_ms = read->last_status == HTTP_STATUS_PUT_OFF || read->position > 0 ? PUT_OFF_INTERVAL_MS
                                                                                      : READ_INTERVAL_MS;
  return now_us - read->started_us >= interval_ms * 1000;
}

/* Reads each accepted batch at each front once a second until @until_us and until all reads are answered. */
static void
read_all (PowerWorld *world, Read reads[POWER_BATCHES][PATH_FRONTS], gint64 calm_us, gint64 until_us)
{
  gboolean waits = TRUE;
  while (waits)
    {
      gint64 now_us = g_get_monotonic_time ();
      waits = now_us < until_us;
      for (guint i = 0; i < POWER_BATCHES; i++)
        for (guint j = 0; j < PATH_FRONTS; j++)
          {
            Read *read = &reads[i][j];
            record_answer (read, i, j, calm_us);
            if (world->batches[i].accepted && now_us < until_us && is_due (read, now_us))
              start_read (world, read, i, j);
            waits = waits || read->waits;
          }
      run_main_loop_once ();
    }
}

static void
assert_all_read (PowerWorld *world, Read reads[POWER_BATCHES][PATH_FRONTS], gint64 healed_us, guint32 seed)
{
  guint refused = 0, put_off = 0, missing = 0;
  gint64 last_refused_us = healed_us;
  for (guint i = 0; i < POWER_BATCHES; i++)
    for (guint j = 0; j < PATH_FRONTS; j++)
      {
        refused += reads[i][j].refused;
        put_off += reads[i][j].put_off;
        missing += world->batches[i].accepted && !world->batches[i].ended && !reads[i][j].whole;
        last_refused_us = MAX (last_refused_us, reads[i][j].last_refused_us);
      }
  print_message ("  seed %u: %u of %u accepted, %u disks lost, %u members, last refusal %" G_GINT64_FORMAT
                 " ms after the last fault, %u refused in calm, %u put off, %u of %u reads not whole\n",
                 seed, world->submitted, POWER_BATCHES, world->disks_lost, power_count_members (world),
                 (last_refused_us - healed_us) / 1000, refused, put_off, missing,
                 POWER_BATCHES * PATH_FRONTS);
  if (refused > 0 || missing > 0)
    fail_msg ("seed %u: %u reads refused, %u not whole; logs in %s", seed, refused, missing,
              world->path->folder);
}

static void
run_seed (guint32 seed)
{
  static Read reads[POWER_BATCHES][PATH_FRONTS];
  memset (reads, 0, sizeof reads);
  PowerWorld *world = power_world_new (seed);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_event_padding (world->path->model[i], get_number ("SOAK_PADDING", 0));
  power_world_start (world);
  for (guint i = power_draw (world, 5, FAULT_STEPS); i > 0; i--)
    step (world);
  lose_power (world, power_draw (world, 0, 2) == 0);
  AWAIT (power_record_accepted (world));
  if (power_draw (world, 0, 2) == 0)
    power_retire (world, G_MAXUINT);
  gint64 healed_us = g_get_monotonic_time ();
  gint64 calm_us = healed_us + CALM_MS * 1000;
  read_all (world, reads, calm_us, calm_us + (gint64)get_number ("SOAK_READ_MS", READ_MS) * 1000);
  assert_all_read (world, reads, healed_us, seed);
  power_world_free (world);
}

static void
test_soak (void **state)
{
  guint32 first = get_number ("SOAK_SEED", DEFAULT_SEED);
  for (guint32 seed = first; seed < first + get_n_seeds (1); seed++)
    run_seed (seed);
}

/* Binds this program and all processes that it starts to SOAK_CORES cores. */
static void
bind_to_cores (void)
{
  guint count = get_number ("SOAK_CORES", 0);
  cpu_set_t cores;
  CPU_ZERO (&cores);
  for (guint i = 0; i < count; i++)
    CPU_SET ((get_number ("SOAK_SEED", DEFAULT_SEED) + i) % g_get_num_processors (), &cores);
  if (count > 0)
    g_assert_cmpint (sched_setaffinity (0, sizeof cores, &cores), ==, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_soak) };
  bind_to_cores ();
  return cmocka_run_group_tests_name ("power-loss-soak", tests, NULL, NULL);
}
