/*
 * directory.h: the fronts that callers may use.
 *
 * Owns the list of fronts, from their keys in the metadata store, and the set of fronts that answer no
 * heartbeat of the ledger's leader.  Relies on the topology for distances.  The caller passes the time.
 */
#pragma once

#include "protocol/codec.h"
#include "core/routing/topology.h"

typedef struct _QuinceDirectory QuinceDirectory;

/* @topology: (transfer none): zone of this front and regions of all zones; must outlive the directory */
QuinceDirectory *
quince_directory_new (const char *own_name, const char *own_address, const QuinceTopology *topology);
void quince_directory_free (QuinceDirectory *directory);
/* Whether this front is among the answers; not before the first call. */
void quince_directory_set_serving (QuinceDirectory *directory, gboolean serving);
/* Returns: (transfer full): the value of a front's key in the metadata store.
 * @address: ip:port for callers; @leaving: its planned stop has begun */
GBytes *quince_directory_format_entry (const char *address, const char *zone, gboolean leaving);
/**
 * quince_directory_apply_entry: the key of the front @name in the metadata store has changed
 * @now_us: monotonic
 * @entry: (nullable): %NULL: the key is gone
 * @lease_may_have_lapsed: perhaps only because the lease ran out during an outage of the store: the front is
 * named for some seconds more
 */
void quince_directory_apply_entry (QuinceDirectory *directory,
                                   gint64 now_us,
                                   const char *name,
                                   GBytes *entry,
                                   gboolean lease_may_have_lapsed);
/* The fronts @names answer no heartbeat of the ledger's leader.  They are left out until the next call, or
 * until there was no call for some seconds. */
void quince_directory_set_silent_fronts (QuinceDirectory *directory,
                                         gint64 now_us,
                                         const char *const *names,
                                         guint n_names);
/* Returns: (transfer full): addresses for a caller in @zone of @region (each nullable), %NULL-terminated:
 * fronts of its zone first, then of its region.  Others follow where its region is not known or has no front
 * left. */
char **
quince_directory_list (QuinceDirectory *directory, gint64 now_us, const char *zone, const char *region);
/* Returns: how many fronts are known, with this one while it serves; silent ones count too */
guint quince_directory_get_size (QuinceDirectory *directory, gint64 now_us);
