/*
 * agent-metrics.h: what /metrics and /v1/status show.
 */
#pragma once

#include <json-glib/json-glib.h>

#include "agent.h"

/* Prometheus text format. (transfer full) */
char *quince_agent_metrics_format (const QuinceAgent *agent);
/* (transfer full) */
JsonNode *quince_agent_status_build (const QuinceAgent *agent);
