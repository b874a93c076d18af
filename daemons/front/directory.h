/*
 * directory.h: which fronts callers are told to use.
 */
#pragma once

#include "protocol/codec.h"
#include "core/routing/topology.h"

typedef struct _QuinceDirectory QuinceDirectory;

/* @topology: tells this front's zone, and the regions of all zones; must outlive the directory */
QuinceDirectory *
quince_directory_new (const char *own_name, const char *own_address, const QuinceTopology *topology);
void quince_directory_free (QuinceDirectory *directory);
/* This front serves, or does not any more. */
void quince_directory_set_serving (QuinceDirectory *directory, gboolean serving);
/* What a front writes of itself into the metadata store, and how it is taken from there. */
GBytes *quince_directory_format_entry (const char *address, const char *zone, gboolean leaving);
/* @entry %NULL: its key is gone; @may_be_lapse: perhaps only because the store forgot it. */
void quince_directory_take_entry (QuinceDirectory *directory,
                                  gint64 now_us,
                                  const char *name,
                                  GBytes *entry,
                                  gboolean may_be_lapse);
/* The ledger's leader hears nothing of the fronts @names; they are left out until it says otherwise, or says
 * nothing for some seconds. */
void quince_directory_set_silent (QuinceDirectory *directory,
                                  gint64 now_us,
                                  const char *const *names,
                                  guint n_names);
/* (transfer full): addresses for a caller in @zone of @region (each nullable), %NULL-terminated: those of its
 * zone first, then those of its region.  Others follow where its region is not known, or where none of
 * its fronts is left. */
char **
quince_directory_list (QuinceDirectory *directory, gint64 now_us, const char *zone, const char *region);
guint quince_directory_get_size (QuinceDirectory *directory, gint64 now_us);
