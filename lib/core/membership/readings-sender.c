/*
 * readings-sender.c: reports of the engines that this node owns, to the zone.
 *
 * Each member gets them straight from their owner, and none passes them on: a
 * report that another node has kept would look younger than it is.  Every
 * byte has to reach every member once in either case.
 */
#include "membership-private.h"

/* Readings have this part of the byte budget, */
#define SHARE_NUMERATOR 2
#define SHARE_DENOMINATOR 5
/* and a member hears of them at most once in this time. */
#define ROUND_LEAST_US ((gint64)400 * G_TIME_SPAN_MILLISECOND)

static gint64
share_of_budget (const QuinceMembership *membership)
{
  return (gint64)membership->limits.bytes_per_second * SHARE_NUMERATOR / SHARE_DENOMINATOR;
}

static void
refill (QuinceMembership *membership, gint64 now_us)
{
  QuinceReadingsRound *round = &membership->readings;
  gint64 rate = share_of_budget (membership);
  gint64 elapsed_us = CLAMP (now_us - round->refilled_us, 0, G_TIME_SPAN_SECOND);
  round->tokens = MIN (rate, round->tokens + elapsed_us * rate / G_TIME_SPAN_SECOND);
  round->refilled_us = now_us;
}

/* FALSE when every member has been told and the next round is not due yet. */
static gboolean
begin_round (QuinceReadingsRound *round, guint members, gint64 now_us)
{
  if (round->cursor < members && round->round_started_us != 0)
    return TRUE;
  if (now_us - round->round_started_us < ROUND_LEAST_US)
    return FALSE;
  if (round->round_started_us != 0)
    round->round_us = now_us - round->round_started_us;
  round->round_started_us = now_us;
  round->cursor = 0;
  return TRUE;
}

void
quince_membership_spread_readings (QuinceMembership *membership,
                                   gint64 now_us,
                                   const QuinceEngineReadings *readings,
                                   guint n_readings,
                                   GPtrArray *sends)
{
  QuinceReadingsRound *round = &membership->readings;
  const QuinceMembershipView *view = quince_member_table_view (membership);
  guint members = view->zone_peers->len;
  refill (membership, now_us);
  while (members > 0 && round->tokens > 0 && begin_round (round, members, now_us))
    {
      QuincePeer *peer = view->zone_peers->pdata[round->cursor++];
      for (guint i = 0; i < n_readings; i++)
        {
          gsize bytes = quince_gossip_sender_send_readings (membership, now_us, peer, &readings[i], sends);
          round->tokens -= (gint64)bytes;
          round->bytes += bytes;
        }
    }
}

gint64
quince_membership_get_readings_round_us (const QuinceMembership *membership)
{
  return MAX (membership->readings.round_us, ROUND_LEAST_US);
}

guint64
quince_membership_get_readings_bytes (const QuinceMembership *membership)
{
  return membership->readings.bytes;
}
