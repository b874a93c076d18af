/*
 * status-json.h: /v1/status and /metrics of this node, as texts.
 */
#pragma once

#include <json-glib/json-glib.h>

#include "node.h"

/* (transfer full) */
JsonNode *quince_node_status_json (QuinceNode *node);
/* (transfer full): Prometheus text format */
char *quince_node_metrics_text (QuinceNode *node);
