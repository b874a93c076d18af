/*
 * agent-settings.c: the settings of quinceroute-agent.
 */
#include "agent-settings.h"

#define SECOND G_USEC_PER_SEC
#define MILLISECOND (G_USEC_PER_SEC / 1000)
#define HOUR (3600 * (gint64)SECOND)

/* clang-format off: one setting a line */
const QuinceSettingSpec quince_agent_setting_specs[] = {
  { "agent", "name", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL,
    "name of this agent, unique in the deployment" },
  { "agent", "deployment", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL,
    "name of the deployment; its nodes refuse agents of another" },
  { "agent", "zone", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "zone that this agent stands in" },
  { "agent", "listen", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "HTTP address for callers and trainers; port 0: the kernel's choice" },
  { "agent", "nodes", QUINCE_SETTING_ADDRESS_LIST, TRUE, NULL, 0, 0, NULL,
    "TCP addresses of some nodes; the others are learnt from them" },
  { "agent", "workers", QUINCE_SETTING_INTEGER, FALSE, "4", 1, 64, NULL,
    "threads that serve callers and engines" },
  { "agent", "member", QUINCE_SETTING_NAME, FALSE, "default", 0, 0, NULL,
    "member of requests that name none" },
  { "agent", "deadline", QUINCE_SETTING_DURATION, FALSE, "30s", 10 * MILLISECOND, 600 * (gint64)SECOND, NULL,
    "deadline of requests that name none" },
  { "agent", "stop_limit", QUINCE_SETTING_DURATION, FALSE, "120s", 0, HOUR, NULL,
    "longest time that a planned stop waits for work in progress" },
  { "agent", "claim_keep", QUINCE_SETTING_DURATION, FALSE, "10min", SECOND, 24 * HOUR, NULL,
    "greatest age of a caller's id for a request that must not be repeated" },
  { "agent", "clock_skew", QUINCE_SETTING_DURATION, FALSE, "5s", 0, 600 * (gint64)SECOND, NULL,
    "how far clocks may differ" },
  { "agent", "retry_ratio", QUINCE_SETTING_NUMBER, FALSE, "0.2", 0, 10, NULL,
    "retries allowed per request, on average" },
  { "agent", "retry_least", QUINCE_SETTING_NUMBER, FALSE, "5", 0, 100000, NULL,
    "retries allowed each second whatever the ratio" },
  { "agent", "run_samples", QUINCE_SETTING_BOOLEAN, FALSE, "false", 0, 0, NULL, "run samples of rollouts" },
  { "agent", "sample_concurrency", QUINCE_SETTING_INTEGER, FALSE, "16", 1, 4096, NULL,
    "samples run at the same time" },
  { "agent", "sample_lease", QUINCE_SETTING_DURATION, FALSE, "15s", SECOND, 600 * (gint64)SECOND, NULL,
    "lease of a sample; renewed every third of it" },
  { "agent", "scorer", QUINCE_SETTING_ADDRESS, FALSE, NULL, 0, 0, NULL,
    "address of the service that scores samples; absent: not scored" },
  { "agent", "score_timeout", QUINCE_SETTING_DURATION, FALSE, "5s", 10 * MILLISECOND, 600 * (gint64)SECOND,
    NULL, "longest wait for one answer of the scorer" },
  { "agent", "ledger_timeout", QUINCE_SETTING_DURATION, FALSE, "10s", 100 * MILLISECOND, 600 * (gint64)SECOND,
    NULL, "longest time until a trainer's call is answered" },
  { "log", "level", QUINCE_SETTING_CHOICE, FALSE, NULL, 0, 0, "debug|info|warning|error",
    "least severe level that is logged; absent: the flag --log-level" },
};
/* clang-format on */

const gsize quince_agent_n_setting_specs = G_N_ELEMENTS (quince_agent_setting_specs);
