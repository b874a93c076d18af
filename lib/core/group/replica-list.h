/*
 * replica-list.h: a set of replica ids, stored in a GArray of guint64 that the caller owns.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

gboolean quince_replica_list_has (const GArray *replicas, guint64 replica);
/* Does nothing if the list already contains @replica. */
void quince_replica_list_add (GArray *replicas, guint64 replica);

G_END_DECLS
