/*
 * agent-metrics.h: what /metrics and /v1/status show.
 */
#pragma once

#include "agent.h"
#include "hub-message.h"

/* @sum: over all workers. Prometheus text format. (transfer full) */
char *quince_agent_metrics_format (const QuinceAgent *agent, const QuinceWorkerReport *sum);
/* JSON. (transfer full) */
char *quince_agent_status_format (const QuinceAgent *agent, const QuinceWorkerReport *sum);
