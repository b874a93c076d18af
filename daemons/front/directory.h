/*
 * directory.h: the list of fronts that callers may use.
 *
 * The directory owns the fronts read from the metadata store and the set of silent fronts, which do not
 * answer the heartbeats of the ledger's leader.  It orders fronts by the topology.  All times are monotonic,
 * us.
 */
#pragma once

#include "protocol/codec.h"
#include "core/routing/topology.h"

typedef struct _QuinceDirectory QuinceDirectory;

/* Returns: (transfer full): a directory without other fronts; this front is not listed yet.
 * @own_address: ip:port for callers
 * @topology: (transfer none): zone of this front and regions of all zones; must outlive the directory */
QuinceDirectory *
quince_directory_new (const char *own_name, const char *own_address, const QuinceTopology *topology);
void quince_directory_free (QuinceDirectory *directory); /* (nullable) */
/* Sets whether the directory lists this front; initially %FALSE. */
void quince_directory_set_serving (QuinceDirectory *directory, gboolean serving);
/* Returns: (transfer full): the value of a front's key in the metadata store.
 * @address: ip:port for callers; @leaving: whether the front's planned stop has begun */
GBytes *quince_directory_format_entry (const char *address, const char *zone, gboolean leaving);
/**
 * quince_directory_apply_entry:
 * @name: front whose key in the metadata store has changed; ignored if it is this front
 * @entry: (nullable): new value of the key; %NULL: the key was removed
 * @lease_may_have_lapsed: the key may have been removed only because its lease expired during an outage of
 * the store; the front stays listed for 4 s more
 *
 * Updates the list of fronts.  Logs and ignores a malformed entry.
 */
void quince_directory_apply_entry (QuinceDirectory *directory,
                                   gint64 now_us,
                                   const char *name,
                                   GBytes *entry,
                                   gboolean lease_may_have_lapsed);
/* Replaces the set of silent fronts, which are not listed.  The set expires 5 s after the last call. */
void quince_directory_set_silent_fronts (QuinceDirectory *directory,
                                         gint64 now_us,
                                         const char *const *names,
                                         guint n_names);
/* Returns: (transfer full): up to 64 addresses for a caller in @zone of @region (each nullable),
 * %NULL-terminated.  Fronts of its zone come first, then those of its region.  Fronts of other regions follow
 * only if the caller's region is unknown or has no available front. */
char **
quince_directory_list (QuinceDirectory *directory, gint64 now_us, const char *zone, const char *region);
/* Returns: the number of known fronts, including silent ones, and this front if it is listed */
guint quince_directory_get_size (QuinceDirectory *directory, gint64 now_us);
