/*
 * node-status.h: what this node tells its link peers of itself.
 */
#pragma once

#include <quince/codec.h>

#include "node.h"

/* Fills @hello with texts that stay owned by @node. */
void quince_node_fill_hello (const QuinceNode *node, QuinceHello *hello);
/* (transfer full) (nullable): encoded NODE_STATUS message */
GBytes *quince_node_encode_status (QuinceNode *node, gboolean with_members);
