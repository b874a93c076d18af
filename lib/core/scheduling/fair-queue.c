/*
 * fair-queue.c: see fair-queue.h.
 */
#include "fair-queue.h"

#include <math.h>

#define QUANTUM 64.0 /* cost units that a member of share 1 gains in a turn */

/* Requests of one member at one level; owned by the level. */
struct _QuinceFlow
{
  char *member;
  struct _Level *level;
  QuinceHeap heap; /* by deadline */
  double share;
  double deficit;
  guint64 passed_over; /* round in which it was passed over */
  GList link;          /* in the level's turns */
};

/* One priority; owned by the queue, exists while something waits in it. */
typedef struct _Level
{
  gint priority;
  GHashTable *flows; /* member -> QuinceFlow, owned */
  GQueue turns;      /* flows in order of their turns */
  guint length;
} Level;

struct _QuinceFairQueue
{
  GPtrArray *levels;          /* Level, greatest priority first, owned */
  GHashTable *member_lengths; /* member -> requests over all levels    */
  guint64 round;
  guint length;
};

static void
free_flow (gpointer data)
{
  QuinceFlow *flow = data;
  quince_heap_clear (&flow->heap);
  g_free (flow->member);
  g_free (flow);
}

static void
free_level (gpointer data)
{
  Level *level = data;
  g_hash_table_unref (level->flows);
  g_free (level);
}

QuinceFairQueue *
quince_fair_queue_new (void)
{
  QuinceFairQueue *queue = g_new0 (QuinceFairQueue, 1);
  queue->levels = g_ptr_array_new_with_free_func (free_level);
  queue->member_lengths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  queue->round = 1;
  return queue;
}

void
quince_fair_queue_free (QuinceFairQueue *queue)
{
  g_ptr_array_unref (queue->levels);
  g_hash_table_unref (queue->member_lengths);
  g_free (queue);
}

static Level *
claim_level (QuinceFairQueue *queue, gint priority)
{
  guint position = 0;
  for (; position < queue->levels->len; position++)
    {
      Level *level = queue->levels->pdata[position];
      if (level->priority == priority)
        return level;
      if (level->priority < priority)
        break;
    }
  Level *level = g_new0 (Level, 1);
  level->priority = priority;
  level->flows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_flow);
  g_queue_init (&level->turns);
  g_ptr_array_insert (queue->levels, (gint)position, level);
  return level;
}

static QuinceFlow *
claim_flow (Level *level, const char *member)
{
  QuinceFlow *flow = g_hash_table_lookup (level->flows, member);
  if (flow != NULL)
    return flow;
  flow = g_new0 (QuinceFlow, 1);
  flow->member = g_strdup (member);
  flow->level = level;
  flow->link.data = flow;
  g_hash_table_insert (level->flows, flow->member, flow);
  g_queue_push_tail_link (&level->turns, &flow->link);
  return flow;
}

static void
count_member (QuinceFairQueue *queue, const char *member, gint change)
{
  gint length = GPOINTER_TO_INT (g_hash_table_lookup (queue->member_lengths, member)) + change;
  if (length == 0)
    g_hash_table_remove (queue->member_lengths, member);
  else if (length == change)
    g_hash_table_insert (queue->member_lengths, g_strdup (member), GINT_TO_POINTER (length));
  else
    {
      gpointer key;
      g_hash_table_steal_extended (queue->member_lengths, member, &key, NULL);
      g_hash_table_insert (queue->member_lengths, key, GINT_TO_POINTER (length));
    }
}

void
quince_fair_queue_push (QuinceFairQueue *queue, QuinceWaiting *waiting, guint64 sequence)
{
  Level *level = claim_level (queue, waiting->priority);
  QuinceFlow *flow = claim_flow (level, waiting->request->member);
  flow->share = waiting->share;
  waiting->flow = flow;
  quince_heap_push (&flow->heap, &waiting->turn, waiting->deadline_us, sequence);
  level->length++;
  queue->length++;
  count_member (queue, waiting->request->member, 1);
}

/* Empty flows and levels go, and with them the deficit. */
void
quince_fair_queue_remove (QuinceFairQueue *queue, QuinceWaiting *waiting)
{
  QuinceFlow *flow = waiting->flow;
  Level *level = flow->level;
  quince_heap_remove (&flow->heap, &waiting->turn);
  waiting->flow = NULL;
  level->length--;
  queue->length--;
  count_member (queue, waiting->request->member, -1);
  if (flow->heap.length > 0)
    return;
  g_queue_unlink (&level->turns, &flow->link);
  g_hash_table_remove (level->flows, flow->member);
  if (level->length == 0)
    g_ptr_array_remove (queue->levels, level);
}

/* ---- Turns ----------------------------------------------------------------- */

void
quince_fair_queue_begin (QuinceFairQueue *queue)
{
  queue->round++;
}

static QuinceWaiting *
head_of (const QuinceFlow *flow)
{
  return quince_heap_peek (&flow->heap)->owner;
}

/* Turns that the flow must still wait for until its deficit pays its head. */
static double
turns_needed (const QuinceFlow *flow)
{
  double missing = head_of (flow)->cost - flow->deficit;
  return missing <= 0 ? 0 : ceil (missing / (QUANTUM * flow->share));
}

/* Goes as many rounds at once as the first flow to be served needs. */
static QuinceFlow *
next_flow (const QuinceFairQueue *queue, Level *level)
{
  double turns = HUGE_VAL;
  QuinceFlow *chosen = NULL;
  for (GList *link = level->turns.head; link != NULL; link = link->next)
    {
      QuinceFlow *flow = link->data;
      if (flow->passed_over == queue->round || turns_needed (flow) >= turns)
        continue;
      turns = turns_needed (flow);
      chosen = flow;
    }
  if (chosen == NULL || turns == 0)
    return chosen;
  for (GList *link = level->turns.head; link != NULL; link = link->next)
    {
      QuinceFlow *flow = link->data;
      if (flow->passed_over != queue->round)
        flow->deficit += turns * QUANTUM * flow->share;
    }
  return chosen;
}

QuinceWaiting *
quince_fair_queue_next (QuinceFairQueue *queue)
{
  for (guint i = 0; i < queue->levels->len; i++)
    {
      QuinceFlow *flow = next_flow (queue, queue->levels->pdata[i]);
      if (flow != NULL)
        return head_of (flow);
    }
  return NULL;
}

void
quince_fair_queue_pass_over (QuinceFairQueue *queue, QuinceWaiting *waiting)
{
  waiting->flow->passed_over = queue->round;
}

void
quince_fair_queue_take (QuinceFairQueue *queue, QuinceWaiting *waiting)
{
  QuinceFlow *flow = waiting->flow;
  flow->deficit -= waiting->cost;
  if (flow->deficit < QUANTUM * flow->share)
    {
      /* Its turn is over: the others go first. */
      g_queue_unlink (&flow->level->turns, &flow->link);
      g_queue_push_tail_link (&flow->level->turns, &flow->link);
    }
  quince_fair_queue_remove (queue, waiting);
}

/* ---- Lengths --------------------------------------------------------------- */

guint
quince_fair_queue_length (const QuinceFairQueue *queue)
{
  return queue->length;
}

guint
quince_fair_queue_member_length (const QuinceFairQueue *queue, const char *member)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (queue->member_lengths, member));
}

guint
quince_fair_queue_ahead (const QuinceFairQueue *queue, gint priority, const char *member)
{
  guint ahead = 0;
  for (guint i = 0; i < queue->levels->len; i++)
    {
      const Level *level = queue->levels->pdata[i];
      if (level->priority < priority)
        break;
      if (level->priority > priority)
        {
          ahead += level->length;
          continue;
        }
      /* Members take turns, so a member with few requests overtakes the others' backlog. */
      const QuinceFlow *flow = g_hash_table_lookup (level->flows, member);
      guint own = flow != NULL ? flow->heap.length : 0;
      guint members = level->turns.length + (flow == NULL ? 1 : 0);
      ahead += MIN (level->length, (own + 1) * members - 1);
    }
  return ahead;
}
