/*
 * membership-private.h: state shared by the parts of the membership core.
 *
 *   member-table.c   who there is: records, precedence, zones, representatives
 *   digest-table.c   newest digest of each member, and which ones are urgent
 *   gossip-sender.c  what goes onto each datagram within the byte budget
 *   gossip-push.c    news that do not wait for the next probe
 *   readings-sender.c  reports of owned engines, to the zone by turns
 *   prober.c         probe rounds, indirect probes, verdicts
 *   table-sync.c     exchange of whole member tables
 *   membership.c     the public calls
 *
 * Every node keeps the record of every member of the deployment (a record is
 * some 100 bytes on the wire), because any node may have to find a ledger
 * replica or a holder of the policy in any zone.  Digests of other zones are
 * kept too, but are refreshed only as far as the byte budget goes.
 */
#pragma once

#include <quince/membership.h>

/* Largest datagram sent: one Ethernet frame with room for tunnels. */
#define QUINCE_GOSSIP_DATAGRAM_BYTES 1400
/* Largest own digest; the rest of the datagram is for its header and news. */
#define QUINCE_GOSSIP_DIGEST_BYTES 1000
/* IPv4 and UDP headers, counted against the byte budget. */
#define QUINCE_GOSSIP_HEADER_BYTES 28
#define QUINCE_GOSSIP_UPDATES 16
#define QUINCE_GOSSIP_DIGESTS 8
/* Largest summary of a member table; the rest of the datagram is for its header. */
#define QUINCE_GOSSIP_SUMMARY_BYTES 1200

/* Rounds of readings over the members of the zone, in order of arrival; see readings-sender.c. */
typedef struct
{
  guint cursor;            /* next member                                     */
  gint64 round_started_us; /* 0: none yet                                     */
  gint64 round_us;         /* how long the last one took                      */
  gint64 tokens;           /* bytes that may be sent now, of the budget's part */
  gint64 refilled_us;
  guint64 bytes; /* sent so far                                     */
} QuinceReadingsRound;

/* One known member, this node included. */
typedef struct
{
  QuinceMember record;       /* owned strings                                   */
  guint64 score;             /* rendezvous score for the name of its zone       */
  gsize record_size;         /* encoded                                         */
  gint64 suspected_until_us; /* SUSPECT: declared dead then                     */
  gint64 dead_since_us;      /* DEAD: forgotten some time after                 */
  guint transmits;           /* of this record since it changed                 */
  gboolean is_urgent;        /* its news is a change of state, not an arrival     */
  gboolean is_newcomer;      /* reported itself, was not told of anyone yet       */
  guint64 chosen_for;        /* number of the last datagram that has the record */
  QuinceNodeDigest *digest;  /* owned; NULL when none                           */
  gsize digest_size;         /* encoded                                         */
  guint digest_transmits;    /* of this digest since it changed                 */
  guint urgent_transmits;    /* still to be sent before anything else           */
  guint64 digest_chosen_for; /* number of the last datagram that has the digest */
} QuincePeer;

/* Derived from the table; made anew after each change of membership. */
typedef struct
{
  guint64 made_for_change;
  GPtrArray *zone_peers;          /* QuincePeer, not owned: own zone, not dead, without self  */
  GPtrArray *representatives;     /* QuincePeer, not owned: one for each other zone           */
  GPtrArray *deputies;            /* QuincePeer, not owned: the next best of those zones      */
  QuincePeer *own_representative; /* of this zone, maybe self                             */
  QuincePeer *own_deputy;         /* the next best of this zone, maybe self; nullable     */
  guint rumor_limit;              /* times that a news is sent                                */
} QuinceMembershipView;

/* A chain of probes, one at a time. */
typedef struct
{
  guint sequence;         /* of the probe under way; 0 when none                   */
  char *target;           /* owned name of its target; "" for a seed               */
  gint64 started_us;      /* when the direct probe went out                        */
  gboolean indirect_sent; /* others were asked to probe                            */
  gint64 next_round_us;   /* when the probe is judged and the next one starts      */
  GPtrArray *round;       /* owned names (of members or zones) still to be probed  */
} QuinceProbeStream;

typedef enum
{
  QUINCE_PROBE_ZONE,       /* members of the own zone                           */
  QUINCE_PROBE_INTER_ZONE, /* representatives of other zones                    */
  QUINCE_PROBE_STREAMS,
} QuinceProbeStreamKind;

/* A probe made for another node. */
typedef struct
{
  guint sequence;        /* of this node's probe                               */
  guint origin_sequence; /* of the asking node's probe                         */
  char *origin_address;  /* owned                                              */
  char *target;          /* owned name                                         */
} QuinceRelay;

struct _QuinceMembership
{
  guint64 deployment; /* constant after it is set */
  QuinceMembershipLimits limits;
  char **seeds; /* owned gossip addresses, without the own one */
  GRand *random;

  GHashTable *by_name; /* name to QuincePeer, owned                    */
  GPtrArray *peers;    /* the same peers in order of arrival           */
  QuincePeer *self;    /* in the table                                 */
  guint64 change_count;
  QuinceMembershipView view;

  QuinceProbeStream streams[QUINCE_PROBE_STREAMS];
  GQueue relays;          /* QuinceRelay, owned, oldest first             */
  guint last_sequence;    /* of probes sent                               */
  gint64 next_reprobe_us; /* when a dead member or silent seed is tried   */
  guint next_seed;        /* index of the seed tried next                 */
  gint64 last_tick_us;    /* a long gap means that this process was paused */

  guint64 digest_sequence;       /* of this node's own digest                 */
  guint64 highest_revision;      /* policy revision in any digest             */
  guint64 highest_zone_revision; /* policy revision in digests of this zone   */
  guint64 highest_epoch;         /* ledger epoch in any digest                */

  gboolean push_due; /* news that shall not wait for the next probe */
  gint64 next_push_us;
  GPtrArray *to_confirm; /* owned names of newly suspected zone members */

  gint64 next_sync_us; /* next exchange of tables                                */
  guint sync_count;    /* of exchanges begun                                     */
  guint sync_learned;  /* records that the last one brought                      */
  gboolean has_joined; /* this node's table once seemed whole                    */
  guint sync_clean;    /* exchanges in turn that found nothing missing           */

  gint64 tokens; /* bytes that may be sent now                  */
  gint64 refilled_us;
  guint64 datagrams; /* sent so far, numbers them                   */
  QuinceReadingsRound readings;
};

/* member-table.c */
void quince_member_table_init (QuinceMembership *membership, const QuinceMember *self);
void quince_member_table_clear (QuinceMembership *membership);
QuincePeer *quince_member_table_lookup (const QuinceMembership *membership, const char *name);
QuincePeer *quince_member_table_lookup_address (const QuinceMembership *membership,
                                                const char *gossip_address);
/* Takes in one record heard from @from. */
void quince_member_table_merge (QuinceMembership *membership,
                                gint64 now_us,
                                const char *from,
                                const QuinceMember *record);
void quince_member_table_set_state (QuinceMembership *membership,
                                    gint64 now_us,
                                    QuincePeer *peer,
                                    QuinceMemberState state);
/* Gives this node's record a new incarnation, above @least. */
void quince_member_table_renew_self (QuinceMembership *membership, guint64 least);
/* Judges suspects whose time is over and forgets those long dead. */
void quince_member_table_expire (QuinceMembership *membership, gint64 now_us);
const QuinceMembershipView *quince_member_table_view (QuinceMembership *membership);
gboolean quince_member_table_is_in_own_zone (const QuinceMembership *membership, const QuincePeer *peer);

/* digest-table.c */
void quince_digest_table_merge (QuinceMembership *membership, const QuinceNodeDigest *digest);
void quince_digest_table_set_own (QuinceMembership *membership, const QuinceNodeDigest *digest);
void quince_digest_table_drop (QuincePeer *peer);

/* gossip-sender.c */
typedef enum
{
  QUINCE_GOSSIP_CONTENT_FULL, /* news, then digests as far as the budget goes */
  QUINCE_GOSSIP_CONTENT_NEWS, /* news only                                    */
} QuinceGossipContent;

/**
 * QuinceGossipHeader:
 * @to: (nullable): the receiver, when it is a known member
 * @to_address: gossip address of the receiver
 * @target: name that the probe is for, "" for whoever answers
 * @target_address: with %QUINCE_GOSSIP_PING_VIA
 */
typedef struct
{
  QuincePeer *to;
  const char *to_address;
  QuinceGossipKind kind;
  guint sequence;
  const char *target;
  const char *target_address;
} QuinceGossipHeader;

void quince_gossip_sender_send (QuinceMembership *membership,
                                gint64 now_us,
                                const QuinceGossipHeader *header,
                                QuinceGossipContent content,
                                GPtrArray *sends);
/* TRUE when some bytes may be sent that leave @reserve bytes of the budget. */
gboolean quince_gossip_sender_can_send (QuinceMembership *membership, gint64 now_us, gint64 reserve);
/* Sends a datagram whose summary @write fills in; @write returns its size in bytes. */
void quince_gossip_sender_send_summary (QuinceMembership *membership,
                                        gint64 now_us,
                                        const QuinceGossipHeader *header,
                                        gsize (*write) (QuinceMembership *, QuinceGossip *),
                                        GPtrArray *sends);
/* Sends one datagram with the records of @peers from the @next one on, which is
 * moved past them, as far as the budget goes.  Returns what was sent, owned by @sends. */
QuinceGossip *quince_gossip_sender_send_records (QuinceMembership *membership,
                                                 gint64 now_us,
                                                 const QuinceGossipHeader *header,
                                                 gint64 reserve,
                                                 GPtrArray *peers,
                                                 guint *next,
                                                 GPtrArray *sends);

/* Sends @readings (transfer none) with what is urgent, whatever the budget; the caller keeps to it.
 * Returns: bytes sent */
gsize quince_gossip_sender_send_readings (QuinceMembership *membership,
                                          gint64 now_us,
                                          QuincePeer *to,
                                          const QuinceEngineReadings *readings,
                                          GPtrArray *sends);

/* gossip-push.c */
/* Sends what is urgent to a few members at once. */
void quince_gossip_push_urgent (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);
/* Tells every zone member and some representatives at once, whatever the budget. */
void quince_gossip_push_announce (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);
/* Sends news to the deputy of another zone, whose representative does not answer. */
void quince_gossip_push_to_deputy (QuinceMembership *membership,
                                   gint64 now_us,
                                   const char *zone,
                                   GPtrArray *sends);

/* prober.c */
void quince_prober_init (QuinceMembership *membership, gint64 now_us);
void quince_prober_clear (QuinceMembership *membership);
void quince_prober_tick (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);
void quince_prober_receive (QuinceMembership *membership,
                            gint64 now_us,
                            const char *from_address,
                            const QuinceGossip *gossip,
                            GPtrArray *sends);
/* Probes the zone members that became suspect, so that they hear of it and can refute it. */
void quince_prober_confirm (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);
/* This process was paused for @pause_us: its probes under way prove nothing. */
void quince_prober_skip_pause (QuinceMembership *membership, gint64 now_us, gint64 pause_us);
gint64 quince_prober_next_wakeup (const QuinceMembership *membership);

/* table-sync.c */
void quince_table_sync_init (QuinceMembership *membership, gint64 now_us);
/* TRUE while this node's table seems whole. */
gboolean quince_table_sync_is_complete (const QuinceMembership *membership);
void quince_table_sync_tick (QuinceMembership *membership, gint64 now_us, GPtrArray *sends);
void quince_table_sync_merge (QuinceMembership *membership, gint64 now_us, const QuinceGossip *gossip);
void quince_table_sync_receive (QuinceMembership *membership,
                                gint64 now_us,
                                const char *from_address,
                                const QuinceGossip *gossip,
                                GPtrArray *sends);
