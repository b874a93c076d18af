/*
 * list-turn.c: when a front that no other process feeds lists the workers itself.
 */
#include "core/decisions/list-turn.h"

#include <string.h>

#include "protocol/hash.h"

guint
quince_list_turn_wait_ms (const char *name, guint n_fronts)
{
  double interval_ms = QUINCE_LIST_INTERVAL_AT_1000_FRONTS_MS * n_fronts / 1000.0;
  double position = (double)quince_hash64 (name, strlen (name), 0) / (double)G_MAXUINT64;
  return (guint)(position * n_fronts * interval_ms);
}
