/*
 * drains.h: engines that operators have drained.
 */
#pragma once

#include "node.h"

QuinceDrains *quince_drains_new (QuinceNode *node);
void quince_drains_free (QuinceDrains *drains);
/* @items: QuinceKvItem, everything that stands under the drains' prefix */
void quince_drains_take_items (QuinceDrains *drains, GPtrArray *items);
