/*
 * replica-list.h: a set of replica ids, as an array of guint64 that its user owns.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

gboolean quince_replica_list_has (const GArray *replicas, guint64 replica);
/* Does nothing where @replica is in the list already. */
void quince_replica_list_add (GArray *replicas, guint64 replica);

G_END_DECLS
