/*
 * http.h: this node over HTTP: health, readiness, metrics and status.
 */
#pragma once

#include "node.h"

QuinceNodeHttp *quince_node_http_new (QuinceNode *node, GError **error);
void quince_node_http_free (QuinceNodeHttp *http);
/* ip:port really listened on */
const char *quince_node_http_get_address (QuinceNodeHttp *http);
