/*
 * list-turn.h: when a front that no other process feeds lists the workers itself.
 *
 * If no front is fed, because no replica runs or none is elected, all fronts have to list the workers.
 * Together they would exceed the store's rate limit, and delay the replicas that are about to feed them.  So
 * the fronts spread their lists over a time that each of them computes from the number of fronts.
 *
 * Pure function.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Mean time between the lists of two fronts in a deployment of 1,000 fronts, ms.  With 10,000 workers a list
 * takes 50 calls and 4 MB, so that all of them together make 1,000 calls and move 80 MB per second.  The time
 * grows with the number of fronts, since the workers and with them the lists do too: the calls per second
 * stay the same in larger deployments. */
#define QUINCE_LIST_INTERVAL_AT_1000_FRONTS_MS 50

/**
 * quince_list_turn_wait_ms:
 * @name: name of this front
 * @n_fronts: number of fronts, this one included
 *
 * Returns: how long this front waits before it lists the workers, ms
 */
guint quince_list_turn_wait_ms (const char *name, guint n_fronts);

G_END_DECLS
