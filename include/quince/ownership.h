/*
 * ownership.h: which node of a zone reads which engine (pure).
 *
 * Rendezvous hashing over the zone's live nodes gives each engine an owner and
 * a spare.  Both poll it, so that the loss of either one, however it fails,
 * delays no news of the engine; the owner tells the others of the zone.  The
 * others follow, and poll an engine by themselves once what they know of it is
 * older than a bound.  Nodes with different views of the zone poll an engine
 * more than twice, never less: soft state.
 *
 * A zone uses all engines of its own, and of each service so many engines of
 * other zones, the same ones on all of its nodes.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* What this node does about an engine. */
typedef enum
{
  QUINCE_DUTY_NONE,   /* its zone does not use the engine               */
  QUINCE_DUTY_FOLLOW, /* hears of it from the owner                     */
  QUINCE_DUTY_SPARE,  /* polls                                          */
  QUINCE_DUTY_OWN,    /* polls, and tells the others                    */
} QuinceDuty;

typedef struct _QuinceOwnership QuinceOwnership;

/**
 * quince_ownership_new:
 * @self: name of this node
 * @zone: its zone
 * @foreign_most: engines of other zones that the zone uses, for each service
 */
QuinceOwnership *quince_ownership_new (const char *self, const char *zone, guint foreign_most);
void quince_ownership_free (QuinceOwnership *ownership);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOwnership, quince_ownership_free)

/* The other live and unsuspected nodes of the zone; @names: (element-type utf8) */
void quince_ownership_set_nodes (QuinceOwnership *ownership, const GPtrArray *names);
/* Whether @node is one of them. */
gboolean quince_ownership_has_node (const QuinceOwnership *ownership, const char *node);

/* A second call for the same name replaces the first. */
void quince_ownership_add_engine (QuinceOwnership *ownership,
                                  const char *engine,
                                  const char *service,
                                  const char *zone);
void quince_ownership_remove_engine (QuinceOwnership *ownership, const char *engine);

/* %QUINCE_DUTY_NONE for an engine that was not added. */
QuinceDuty quince_ownership_get_duty (QuinceOwnership *ownership, const char *engine);

/**
 * quince_ownership_follow_bound_us:
 * @poll_interval_us: between two polls of an owner
 * @round_us: in which an owner tells every node of its zone
 * @most_us: above this an engine gets no new work
 *
 * Age at which a follower polls by itself: above what it sees while the owner is well.
 */
gint64 quince_ownership_follow_bound_us (gint64 poll_interval_us, gint64 round_us, gint64 most_us);

G_END_DECLS
