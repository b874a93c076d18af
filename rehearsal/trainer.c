/*
 * trainer.c: stand-in of a trainer: runs its loop over steps, checks what it
 * is given and prints one summary line at the end.
 */
#include "trainer.h"

#include <stdio.h>
#include <stdlib.h>

#include <quince/http.h>

#include "standins.h"

#define CALL_TIMEOUT_S 30

static const QuinceFaultSpec trainer_faults[] = {
  { "pause", QUINCE_FAULT_FLAG, G_STRUCT_OFFSET (TrainerFaults, pause), NULL },
  { 0 },
};

typedef struct
{
  const char *name;
  gsize offset; /* of a guint64 in TrainerCounters */
} CounterName;

#define COUNTER(name)                                                                                        \
  {                                                                                                          \
#name, G_STRUCT_OFFSET(TrainerCounters, name)                                                            \
  }
static const CounterName counter_names[] = {
  COUNTER (steps_done), COUNTER (delivered),     COUNTER (lost),         COUNTER (duplicated),
  COUNTER (unknown),    COUNTER (bad_text),      COUNTER (bad_segments), COUNTER (over_staleness),
  COUNTER (mixed),      COUNTER (staleness_sum), COUNTER (conflicts),    COUNTER (repeats),
};

static guint64
counter_value (const TrainerCounters *counters, const CounterName *name)
{
  return G_STRUCT_MEMBER (guint64, counters, name->offset);
}

static gboolean
is_clean (Trainer *trainer)
{
  const TrainerCounters *counters = &trainer->counters;
  return !trainer->aborted && counters->steps_done == trainer->settings.steps && counters->lost == 0
         && counters->duplicated == 0 && counters->unknown == 0 && counters->bad_text == 0
         && counters->bad_segments == 0 && counters->over_staleness == 0;
}

/* ---- Records and summary ---- */

static char *
describe_records (gpointer self)
{
  Trainer *trainer = self;
  GString *text = g_string_new ("{");
  g_mutex_lock (&trainer->lock);
  for (guint i = 0; i < G_N_ELEMENTS (counter_names); i++)
    g_string_append_printf (text, "\"%s\":%" G_GUINT64_FORMAT ",", counter_names[i].name,
                            counter_value (&trainer->counters, &counter_names[i]));
  g_string_append_printf (text,
                          "\"idle_ms\":%" G_GINT64_FORMAT ",\"busy_ms\":%" G_GINT64_FORMAT
                          ",\"aborted\":%s,\"samples\":[%s]}",
                          trainer->counters.idle_us / 1000, trainer->counters.busy_us / 1000,
                          trainer->aborted ? "true" : "false", trainer->deliveries->str);
  g_mutex_unlock (&trainer->lock);
  return g_string_free (text, FALSE);
}

static void
print_summary (Trainer *trainer)
{
  g_mutex_lock (&trainer->lock);
  printf ("summary role=trainer name=%s", trainer->settings.common.name);
  for (guint i = 0; i < G_N_ELEMENTS (counter_names); i++)
    printf (" %s=%" G_GUINT64_FORMAT, counter_names[i].name,
            counter_value (&trainer->counters, &counter_names[i]));
  printf (" idle_ms=%" G_GINT64_FORMAT " busy_ms=%" G_GINT64_FORMAT " result=%s\n",
          trainer->counters.idle_us / 1000, trainer->counters.busy_us / 1000,
          is_clean (trainer) ? "clean"
          : trainer->aborted ? "aborted"
                             : "violated");
  fflush (stdout);
  g_mutex_unlock (&trainer->lock);
}

void
trainer_on_loop_ended (Trainer *trainer)
{
  print_summary (trainer);
  if (!trainer->settings.linger)
    quince_standin_quit (trainer->standin,
                         is_clean (trainer) ? QUINCE_STANDIN_EXIT_OK : QUINCE_STANDIN_EXIT_FAILURE);
}

static gboolean
start_loop (gpointer user_data)
{
  Trainer *trainer = user_data;
  trainer->thread = g_thread_new ("trainer-loop", trainer_loop, trainer);
  return G_SOURCE_REMOVE;
}

static void
stop_loop (gpointer self)
{
  Trainer *trainer = self;
  g_cancellable_cancel (trainer->cancellable);
  if (trainer->thread != NULL)
    g_thread_join (trainer->thread);
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  quince_http_reply_error (message, 404, "not_found", "a trainer has controls only", -1, -1);
}

static const QuinceStandinClass trainer_class = {
  .role = "trainer",
  .faults = trainer_faults,
  .handle = handle_request,
  .records = describe_records,
  .stop = stop_loop,
};

/* ---- Flags ---- */

enum
{
  KEY_AGENT = 0x2000,
  KEY_MEMBER,
  KEY_PUBLISH_TO,
  KEY_STEPS,
  KEY_SAMPLES,
  KEY_STALENESS,
  KEY_VERSION,
  KEY_TOKENS,
  KEY_TAIL,
  KEY_STEP_MS,
  KEY_AHEAD,
  KEY_SEED,
  KEY_TIMEOUT,
  KEY_LINGER,
};

static const struct argp_option trainer_options[] = {
  { "agent", KEY_AGENT, "IP:PORT;...", 0, "Agents, any of which may be called", 0 },
  { "member", KEY_MEMBER, "NAME", 0, "Member that the work is counted to (default)", 0 },
  { "publish-to", KEY_PUBLISH_TO, "IP:PORT", 0, "Weight store that gets each new version", 0 },
  { "steps", KEY_STEPS, "N", 0, "Steps to run (10)", 0 },
  { "samples", KEY_SAMPLES, "N", 0, "Samples of a step (16)", 0 },
  { "staleness", KEY_STALENESS, "N", 0, "Staleness bound, versions (2)", 0 },
  { "version", KEY_VERSION, "V", 0, "Weight version at start (1)", 0 },
  { "tokens", KEY_TOKENS, "N", 0, "Tokens of an ordinary sample (32)", 0 },
  { "tail", KEY_TAIL, "FRACTION:FACTOR", 0, "Share of samples that are so many times longer (0:1)", 0 },
  { "step-ms", KEY_STEP_MS, "MS", 0, "Time to train on a batch (50)", 0 },
  { "ahead", KEY_AHEAD, "N", 0, "Steps submitted ahead (1)", 0 },
  { "seed", KEY_SEED, "N", 0, "Seed of the sample lengths (1)", 0 },
  { "timeout-s", KEY_TIMEOUT, "S", 0, "Give up after so long without an answer (120)", 0 },
  { "linger", KEY_LINGER, NULL, 0, "Serve the records after the last step until stopped", 0 },
  { 0 },
};

static void
parse_tail (TrainerSettings *settings, const char *text, struct argp_state *state)
{
  char *end = NULL;
  settings->tail_fraction = g_ascii_strtod (text, &end);
  if (end == text || *end != ':')
    argp_error (state, "--tail is FRACTION:FACTOR");
  else
    settings->tail_factor = g_ascii_strtod (end + 1, NULL);
  if (settings->tail_fraction < 0 || settings->tail_fraction > 1 || settings->tail_factor < 0
      || settings->tail_factor > 10000)
    argp_error (state, "--tail: fraction from 0 to 1, factor up to 10000");
}

static gboolean
parse_number (TrainerSettings *settings, int key, const char *argument, struct argp_state *state)
{
  const struct
  {
    int key;
    guint64 *value;
    guint64 greatest;
  } numbers[] = {
    { KEY_STEPS, &settings->steps, 1000000 },      { KEY_SAMPLES, &settings->samples, 16384 },
    { KEY_STALENESS, &settings->staleness, 1000 }, { KEY_VERSION, &settings->version, G_MAXINT64 },
    { KEY_TOKENS, &settings->tokens, 100000 },     { KEY_STEP_MS, &settings->step_ms, 3600000 },
    { KEY_AHEAD, &settings->ahead, 1000 },         { KEY_SEED, &settings->seed, G_MAXINT64 },
    { KEY_TIMEOUT, &settings->timeout_s, 86400 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (numbers[i].key == key)
      {
        *numbers[i].value = quince_standin_flag_number (argument, numbers[i].greatest, state);
        return TRUE;
      }
  return FALSE;
}

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  TrainerSettings *settings = state->input;
  if (parse_number (settings, key, argument, state))
    return 0;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &settings->common;
      return 0;
    case ARGP_KEY_END:
      if (settings->agents == NULL || settings->agents[0] == NULL)
        argp_error (state, "--agent is needed");
      return 0;
    case KEY_AGENT:
      g_strfreev (settings->agents);
      settings->agents = g_strsplit (argument, ";", -1);
      return 0;
    case KEY_MEMBER:
      settings->member = argument;
      return 0;
    case KEY_PUBLISH_TO:
      settings->publish_to = argument;
      return 0;
    case KEY_TAIL:
      parse_tail (settings, argument, state);
      return 0;
    case KEY_LINGER:
      settings->linger = TRUE;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child trainer_children[] = { { &quince_standin_argp, 0, NULL, 0 }, { 0 } };
static const struct argp trainer_argp
    = { trainer_options, parse_flag, NULL, "Stand-in of a trainer.", trainer_children, NULL, NULL };

int
quince_trainer_standin_run (int argc, char **argv)
{
  /* Lives until the process ends: its thread and connections refer to it. */
  static Trainer trainer = { .settings = { .member = "default",
                                           .steps = 10,
                                           .samples = 16,
                                           .staleness = 2,
                                           .version = 1,
                                           .tokens = 32,
                                           .tail_factor = 1,
                                           .step_ms = 50,
                                           .ahead = 1,
                                           .seed = 1,
                                           .timeout_s = 120 } };
  quince_standin_flags_init (&trainer.settings.common, "trainer");
  if (argp_parse (&trainer_argp, argc, argv, 0, NULL, &trainer.settings) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  g_mutex_init (&trainer.lock);
  trainer.cancellable = g_cancellable_new ();
  trainer.session = soup_session_new_with_options ("timeout", CALL_TIMEOUT_S, NULL);
  trainer.delivered_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  trainer.deliveries = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  trainer.standin
      = quince_standin_new (&trainer_class, &trainer.settings.common, &trainer, &trainer.faults, &error);
  if (trainer.standin == NULL)
    return quince_standin_report_failure ("trainer", error);
  g_idle_add (start_loop, &trainer);
  return quince_standin_run (trainer.standin, NULL);
}
