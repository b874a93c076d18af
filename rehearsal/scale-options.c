/*
 * scale-options.c: flags of the scale run.
 */
#include "scale-options.h"

#include <argp.h>

enum
{
  FLAG_NODES = 256,
  FLAG_ZONES,
  FLAG_REGIONS,
  FLAG_ENGINES,
  FLAG_SECONDS,
  FLAG_PROCESSES,
  FLAG_SEED,
  FLAG_FAILURES,
  FLAG_REAL,
  FLAG_HOLLOW,
};

static const struct argp_option flags[] = {
  { "nodes", FLAG_NODES, "N", 0, "hollow nodes, 2 to 1000 (400)", 0 },
  { "zones", FLAG_ZONES, "N", 0, "zones that they are spread over (23)", 0 },
  { "regions", FLAG_REGIONS, "N", 0, "regions that the zones are spread over (6)", 0 },
  { "engines", FLAG_ENGINES, "N", 0, "hollow engines in each node's digest, at most 64 (12)", 0 },
  { "seconds", FLAG_SECONDS, "N", 0, "length of the steady and of the churn phase (30)", 0 },
  { "processes", FLAG_PROCESSES, "N", 0, "processes that hold the nodes (4)", 0 },
  { "seed", FLAG_SEED, "N", 0, "of all random choices (1)", 0 },
  { "failures", FLAG_FAILURES, "FACTOR", 0,
    "machines fail and restart FACTOR times as often as each day's 81 failures and 1600 restarts of 400 "
    "nodes; "
    "0: no churn phase (20)",
    0 },
  { "real", FLAG_REAL, "N", 0, "real node processes beside the hollow nodes, at most 16 (0)", 0 },
  { "hollow", FLAG_HOLLOW, NULL, OPTION_HIDDEN, NULL, 0 },
  { 0 },
};

static guint64
parse_number (struct argp_state *state, const char *text, guint64 least, guint64 most)
{
  guint64 number = 0;
  g_autoptr (GError) error = NULL;
  if (!g_ascii_string_to_unsigned (text, 10, least, most, &number, &error))
    argp_error (state, "%s", error->message);
  return number;
}

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  QuinceScaleOptions *options = state->input;
  QuinceScaleSize *size = &options->size;
  switch (key)
    {
    case FLAG_NODES:
      size->nodes = (guint)parse_number (state, argument, 2, 1000);
      return 0;
    case FLAG_ZONES:
      size->zones = (guint)parse_number (state, argument, 1, 1000);
      return 0;
    case FLAG_REGIONS:
      size->regions = (guint)parse_number (state, argument, 1, 1000);
      return 0;
    case FLAG_ENGINES:
      size->engines = (guint)parse_number (state, argument, 0, 64);
      return 0;
    case FLAG_SECONDS:
      options->seconds = (guint)parse_number (state, argument, 1, 3600);
      return 0;
    case FLAG_PROCESSES:
      size->processes = (guint)parse_number (state, argument, 1, 64);
      return 0;
    case FLAG_SEED:
      size->seed = parse_number (state, argument, 0, G_MAXUINT32);
      return 0;
    case FLAG_FAILURES:
      options->failures = (guint)parse_number (state, argument, 0, 1000);
      return 0;
    case FLAG_REAL:
      options->real = (guint)parse_number (state, argument, 0, 16);
      return 0;
    case FLAG_HOLLOW:
      options->hollow = TRUE;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
quince_scale_options_parse (QuinceScaleOptions *options, int argc, char **argv)
{
  const struct argp argp
      = { flags, parse_flag,
          NULL,  "Runs many hollow nodes on this machine and measures membership and policy spread.",
          NULL,  NULL,
          NULL };
  *options = (QuinceScaleOptions){
    .size = { .nodes = 400, .zones = 23, .regions = 6, .engines = 12, .processes = 4, .seed = 1 },
    .seconds = 30,
    .failures = 20,
  };
  argp_parse (&argp, argc, argv, 0, NULL, options);
}
