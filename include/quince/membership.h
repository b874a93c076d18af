/*
 * membership.h: who is alive in a deployment (pure).
 *
 * SWIM (Das, Gupta and Motivala, 2002) with suspicion and incarnations, and
 * digests carried on the same datagrams.  Inside a zone every node probes;
 * between zones only each zone's representative does, the live member with
 * the greatest rendezvous score for the zone's name: soft state, recomputed.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef struct
{
  gint64 probe_interval_us; /* default 500 ms                               */
  gint64 probe_timeout_us;  /* default 200 ms, then indirect                */
  gint64 suspect_us;        /* default 2 s                                  */
  gint64 forget_us;         /* dead members are forgotten after, default 60 s */
  guint indirect_probes;    /* default 2                                    */
  guint bytes_per_second;   /* budget for what is sent, default 7400: of the 8000 of a node, 600 are
                             * for policy bodies over links                 */
} QuinceMembershipLimits;

extern const QuinceMembershipLimits quince_membership_default_limits;

typedef struct
{
  char *address; /* gossip address                               */
  QuinceGossip *gossip;
} QuinceMembershipSend;

typedef struct _QuinceMembership QuinceMembership;

QuinceMembership *quince_membership_new (const QuinceMembershipLimits *limits,
                                         const QuinceMember *self,
                                         const char *const *seeds, /* gossip addresses */
                                         guint64 seed,
                                         gint64 now_us);
/* Datagrams of another deployment are dropped; 0, the default, is the unnamed one.
 * An address may have belonged to another deployment's machine. */
void quince_membership_set_deployment (QuinceMembership *membership, guint64 deployment);
void quince_membership_free (QuinceMembership *membership);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMembership, quince_membership_free)

GPtrArray *quince_membership_sends_new (void); /* of QuinceMembershipSend */

void quince_membership_receive (QuinceMembership *membership,
                                gint64 now_us,
                                const char *from_address,
                                const QuinceGossip *gossip,
                                GPtrArray *sends);
void quince_membership_tick (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);
gint64 quince_membership_next_wakeup (const QuinceMembership *membership);
/* Planned stop: tells the others at once. */
void quince_membership_leave (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);

/* This node's own digest, spread with the next datagrams; node, incarnation
 * and sequence are filled in here.  Engines that do not fit one datagram are
 * dropped, those that are not leaving and have the fewest grants first.  A
 * digest whose policy revision or ledger epoch is the highest seen so far, or
 * that first calls an engine leaving, is urgent: ask
 * quince_membership_next_wakeup() anew after this call. */
void quince_membership_set_digest (QuinceMembership *membership, const QuinceNodeDigest *digest);
/**
 * quince_membership_spread_readings:
 * @readings: of the engines that this node owns; a datagram for each
 *
 * Sends them to the next members of the zone in turn, as far as the part of the
 * byte budget that is set aside for them goes; to be called ten times a second.
 */
void quince_membership_spread_readings (QuinceMembership *membership,
                                        gint64 now_us,
                                        const QuinceEngineReadings *readings,
                                        guint n_readings,
                                        GPtrArray *sends);
/* How long the last full round over the zone's members took. */
gint64 quince_membership_get_readings_round_us (const QuinceMembership *membership);
/* Bytes sent with readings, with IP and UDP headers. */
guint64 quince_membership_get_readings_bytes (const QuinceMembership *membership);
/* Replica id of this node once its ledger is open. */
void quince_membership_set_replica_id (QuinceMembership *membership, guint64 replica_id);

/* Newest digest of each other member; %NULL when none. (transfer none) */
const QuinceNodeDigest *quince_membership_get_digest (const QuinceMembership *membership, const char *node);

/* Members, self included, dead ones too: every node knows the record of every
 * member of every zone, zone members within seconds of a cold start. Array of const QuinceMember*, valid
 * until the next call that changes the state. (transfer container) */
GPtrArray *quince_membership_get_members (const QuinceMembership *membership);
/* Grows with every change of who is alive. */
guint64 quince_membership_get_change_count (const QuinceMembership *membership);
guint64 quince_membership_get_incarnation (const QuinceMembership *membership);

G_END_DECLS
