/*
 * front-limits.c: what callers may take of a front's machine: memory, connections and descriptors.
 */
#include "front-limits.h"

#include <sys/resource.h>

#include "http1/answer-budget.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "../daemon-settings.h"

/* Memory of the process without requests and answers: tables of the largest deployments, and what freed
 * memory costs until it is used again, bytes. */
#define PROCESS_BYTES (24 * 1000 * 1000)
/* Descriptors that the platform keeps for files, of limits.descriptors. */
#define FILE_DESCRIPTORS 200

/* Returns the descriptors that sockets may have. */
static guint
read_n_sockets (const QuinceSettings *settings)
{
  guint n_descriptors = (guint)quince_settings_get_integer (settings, "limits", "descriptors");
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < n_descriptors)
    n_descriptors = (guint)limit.rlim_cur;
  return n_descriptors > 2 * FILE_DESCRIPTORS ? n_descriptors - FILE_DESCRIPTORS : n_descriptors / 2;
}

void
quince_front_limits_apply (const QuinceSettings *settings, QuinceFrontContext *context)
{
  double memory_mb = quince_settings_get_number (settings, "limits", "memory");
  guint n_sockets = read_n_sockets (settings);
  guint64 limit_bytes = quince_memory_account_compute_limit ((guint64)(memory_mb * QUINCE_BYTES_PER_MB),
                                                             PROCESS_BYTES + QUINCE_ANSWER_BUDGET_BYTES, 1);
  context->memory = quince_memory_account_new (limit_bytes);
  /* The rest is for connections that are being closed, and for those to workers, the leader and the store. */
  context->connections_max = n_sockets / 4 * 3;
  context->sockets_max = n_sockets / 8 * 7;
  quince_log_info ("caller_limits", "memory_bytes=%" G_GUINT64_FORMAT " connections=%u sockets=%u",
                   quince_memory_account_get_limit (context->memory), context->connections_max,
                   context->sockets_max);
}

void
quince_front_limits_set_metrics (const QuinceFrontContext *context)
{
  quince_metric_set ("quince_front_request_memory_bytes", "",
                     (double)quince_memory_account_get_held (context->memory));
  quince_metric_set ("quince_front_request_memory_limit_bytes", "",
                     (double)quince_memory_account_get_limit (context->memory));
}
