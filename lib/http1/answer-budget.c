/*
 * answer-budget.c: bytes of incomplete responses that the exchanges of a thread hold in memory.
 */
#include "http1/answer-budget.h"

#include "http-pool-private.h"

typedef struct
{
  GHashTable *holders; /* QuinceHttpExchange that hold bytes, not owned */
  gsize held_bytes;
} Budget;

static void
budget_free (gpointer data)
{
  Budget *budget = data;
  g_hash_table_unref (budget->holders);
  g_free (budget);
}

static Budget *
get_budget (void)
{
  static GPrivate key = G_PRIVATE_INIT (budget_free);
  Budget *budget = g_private_get (&key);
  if (budget != NULL)
    return budget;
  budget = g_new0 (Budget, 1);
  budget->holders = g_hash_table_new (NULL, NULL);
  g_private_set (&key, budget);
  return budget;
}

void
quince_answer_budget_set (QuinceHttpExchange *exchange, gsize old_bytes, gsize new_bytes)
{
  Budget *budget = get_budget ();
  budget->held_bytes = budget->held_bytes - old_bytes + new_bytes;
  if (old_bytes == 0 && new_bytes > 0)
    g_hash_table_add (budget->holders, exchange);
  else if (old_bytes > 0 && new_bytes == 0)
    g_hash_table_remove (budget->holders, exchange);
}

QuinceHttpExchange *
quince_answer_budget_find_excess (void)
{
  const Budget *budget = get_budget ();
  if (budget->held_bytes <= QUINCE_ANSWER_BUDGET_BYTES)
    return NULL;
  QuinceHttpExchange *largest = NULL;
  GHashTableIter iter;
  gpointer holder;
  g_hash_table_iter_init (&iter, budget->holders);
  while (g_hash_table_iter_next (&iter, &holder, NULL))
    if (largest == NULL || ((QuinceHttpExchange *)holder)->held_bytes > largest->held_bytes)
      largest = holder;
  return largest;
}

gsize
quince_answer_budget_get_held_bytes (void)
{
  return get_budget ()->held_bytes;
}
