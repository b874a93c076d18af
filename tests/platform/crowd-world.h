/*
 * crowd-world.h: one front and three replicas on the smallest machines, and what must hold beside a crowd.
 *
 * Each process stays within the memory and the descriptors of its machine, and answers ordinary requests.
 * Nothing is asked of times, nor of how many callers of the crowd are served.
 */
#pragma once

#define PATH_FRONTS 1
#include "crowd.h"
#include "process-usage.h"

/* The greatest body that the users' configuration allows, bytes. */
#define CROWD_BODY_MAX_BYTES (32u << 20)
/* Memory of the smallest machines of fronts and of replicas, bytes. */
#define CROWD_FRONT_MEMORY_BYTES 120000000u
#define CROWD_REPLICA_MEMORY_BYTES 270000000u
/* Descriptors of the smallest fronts, and those of them that are kept for files. */
#define CROWD_DESCRIPTORS_MAX 3075
#define CROWD_FILE_DESCRIPTORS 200
/* The crowd is left alone when it has written nothing for this time, ms. */
#define CROWD_QUIET_MS 1000
/* Longest time for which a crowd sends, ms. */
#define CROWD_SENDING_MAX_MS 60000
#define CROWD_MEASURE_INTERVAL_US (100 * 1000)

/* AddressSanitizer delays the reuse of freed memory. */
#ifdef __SANITIZE_ADDRESS__
#define CROWD_MEMORY_SLACK_BYTES (600u << 20)
#else
#define CROWD_MEMORY_SLACK_BYTES 0u
#endif

typedef struct
{
  PathWorld *path;
  GSocket *metrics_port;      /* of the front, reserved; owned */
  char *metrics;              /* its address, owned */
  char *settings;             /* the setting with it, owned */
  guint n_ordinary;           /* ordinary requests so far */
  guint64 front_peak_bytes;   /* resident and unread */
  guint64 replica_peak_bytes; /* of the replica with the most */
  guint front_peak_sockets;
  gint64 measured_us;
} CrowdWorld;

static CrowdWorld crowd_world;

/* Reserves an address for metrics.  Returns: (transfer none): the setting with it */
static inline const char *
crowd_reserve_metrics (void)
{
  crowd_world.metrics_port = standin_reserve_port ("127.0.0.1:0");
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (crowd_world.metrics_port, NULL);
  guint16 port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  crowd_world.metrics = g_strdup_printf ("127.0.0.1:%u", port);
  crowd_world.settings = g_strdup_printf ("metrics=%s\n", crowd_world.metrics);
  return crowd_world.settings;
}

static inline int
crowd_set_up (void **state)
{
  crowd_world = (CrowdWorld){ .path = path_world_new ("crowd") };
  crowd_world.path->max_body_bytes = CROWD_BODY_MAX_BYTES;
  crowd_world.path->descriptors_max = CROWD_DESCRIPTORS_MAX;
  crowd_world.path->front_listen_settings = crowd_reserve_metrics ();
  path_world_start (crowd_world.path);
  return 0;
}

static inline int
crowd_tear_down (void **state)
{
  path_world_free (crowd_world.path);
  g_clear_object (&crowd_world.metrics_port);
  g_free (crowd_world.metrics);
  g_free (crowd_world.settings);
  return 0;
}

/* ---- Measurement ------------------------------------------------------------- */

static inline guint64
crowd_read_bytes (QuinceProcess *process, QuinceProcessUsage *usage)
{
  if (!quince_process_read_usage (process, usage))
    fail_msg ("%s ended", quince_process_get_name (process));
  return MAX (usage->resident_bytes + usage->unread_bytes, usage->peak_resident_bytes);
}

/* Returns TRUE, so that the condition of a wait can call it. */
static inline gboolean
crowd_measure (void)
{
  QuinceProcessUsage usage;
  gint64 now_us = g_get_monotonic_time ();
  if (now_us - crowd_world.measured_us < CROWD_MEASURE_INTERVAL_US)
    return TRUE;
  crowd_world.measured_us = now_us;
  guint64 bytes = crowd_read_bytes (crowd_world.path->fronts[0], &usage);
  crowd_world.front_peak_bytes = MAX (crowd_world.front_peak_bytes, bytes);
  crowd_world.front_peak_sockets = MAX (crowd_world.front_peak_sockets, usage.n_sockets);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      bytes = crowd_read_bytes (crowd_world.path->replicas[i], &usage);
      crowd_world.replica_peak_bytes = MAX (crowd_world.replica_peak_bytes, bytes);
    }
  return TRUE;
}

/* Asserts that no process has exceeded the memory or the descriptors of its machine. */
static inline void
crowd_check_usage (const char *name)
{
  crowd_world.measured_us = 0;
  crowd_measure ();
  print_message ("  %s: front %u MB and %u sockets, replica %u MB\n", name,
                 (guint)(crowd_world.front_peak_bytes / 1000000), crowd_world.front_peak_sockets,
                 (guint)(crowd_world.replica_peak_bytes / 1000000));
  if (crowd_world.front_peak_bytes > CROWD_FRONT_MEMORY_BYTES + CROWD_MEMORY_SLACK_BYTES)
    fail_msg ("%s: the front exceeds the memory of its machine", name);
  if (crowd_world.replica_peak_bytes > CROWD_REPLICA_MEMORY_BYTES + CROWD_MEMORY_SLACK_BYTES)
    fail_msg ("%s: a replica exceeds the memory of its machine", name);
  if (crowd_world.front_peak_sockets > CROWD_DESCRIPTORS_MAX - CROWD_FILE_DESCRIPTORS)
    fail_msg ("%s: the front exceeds the descriptors of its machine", name);
}

/* ---- Ordinary requests ------------------------------------------------------- */

static inline gboolean
crowd_is_lookup_answered (void)
{
  g_autofree char *id = g_strdup_printf ("ordinary-%u", crowd_world.n_ordinary++);
  return path_status (path_front (crowd_world.path, 0), "POST", "/l/ordinary", id, "question") == 200;
}

static inline gboolean
crowd_is_batch_accepted (void)
{
  g_autofree char *id = g_strdup_printf ("ordinary-%u", crowd_world.n_ordinary++);
  g_autofree char *batch = path_make_batch (id, 2);
  return path_status (path_front (crowd_world.path, 0), "POST", "/r/ordinary", id, batch) == 202;
}

/* Waits until an ordinary request of each kind is answered. */
static inline void
crowd_check_ordinary (void)
{
  AWAIT (crowd_measure () && crowd_is_lookup_answered ());
  AWAIT (crowd_measure () && crowd_is_batch_accepted ());
}

/* ---- Crowds -------------------------------------------------------------------- */

/* Lets the crowd send until it has sent everything or nothing more is taken from it. */
static inline void
crowd_send (Crowd *crowd)
{
  gint64 start_us = g_get_monotonic_time ();
  gint64 quiet_since_us = start_us;
  gint64 now_us = start_us;
  while (now_us - quiet_since_us < CROWD_QUIET_MS * 1000 && now_us - start_us < CROWD_SENDING_MAX_MS * 1000)
    {
      gboolean has_written = crowd_turn (crowd);
      crowd_measure ();
      if (!g_main_context_iteration (NULL, FALSE) && !has_written)
        g_usleep (1000);
      now_us = g_get_monotonic_time ();
      if (has_written)
        quiet_since_us = now_us;
    }
}

/* A refusal that may be repeated says when. */
static inline void
crowd_check_refusals (const Crowd *crowd)
{
  for (guint i = 0; i < crowd->callers->len; i++)
    {
      const CrowdCaller *caller = crowd->callers->pdata[i];
      guint status = crowd_get_status (caller);
      if ((status == 429 || status == 503) && strstr (caller->answer->str, "Retry-After:") == NULL)
        fail_msg ("a refusal with status %u has no Retry-After", status);
    }
}

static inline void
crowd_print_statuses (const Crowd *crowd)
{
  static const guint statuses[] = { 0, 200, 202, 400, 404, 408, 413, 429, 431, 500, 502, 503, 504 };
  g_autoptr (GString) text = g_string_new (NULL);
  for (guint i = 0; i < G_N_ELEMENTS (statuses); i++)
    if (crowd_count_status (crowd, statuses[i]) > 0)
      g_string_append_printf (text, " %u: %u", statuses[i], crowd_count_status (crowd, statuses[i]));
  print_message ("  answers by status:%s; %u still open\n", text->str, crowd_count_open (crowd));
}

/* A crowd at @address: each process stays within its machine, and ordinary requests are answered beside the
 * crowd and after it. */
static inline void
crowd_check (const CrowdCase *crowd_case, const char *address)
{
  Crowd *crowd = crowd_new (crowd_case, address);
  crowd_send (crowd);
  crowd_check_ordinary ();
  crowd_turn (crowd);
  crowd_print_statuses (crowd);
  crowd_check_refusals (crowd);
  crowd_free (crowd);
  crowd_check_ordinary ();
  crowd_check_usage (crowd_case->name);
}

/* Returns the address of the listener @key of the front: "metrics", or a key of its ready line. */
static inline const char *
crowd_get_address (const char *key)
{
  return g_str_equal (key, "metrics") ? crowd_world.metrics
                                      : quince_process_get_ready_value (crowd_world.path->fronts[0], key);
}

#define CROWD_CASE(function) cmocka_unit_test_setup_teardown (function, crowd_set_up, crowd_tear_down)
