/*
 * heap.c: see heap.h.
 */
#include "heap.h"

static gboolean
comes_before (const QuinceHeapNode *first, const QuinceHeapNode *second)
{
  if (first->key != second->key)
    return first->key < second->key;
  return first->sequence < second->sequence;
}

static void
set_position (QuinceHeap *heap, guint position, QuinceHeapNode *node)
{
  heap->nodes[position] = node;
  node->position = position;
}

static void
sift_up (QuinceHeap *heap, QuinceHeapNode *node)
{
  guint position = node->position;
  while (position > 0 && comes_before (node, heap->nodes[(position - 1) / 2]))
    {
      set_position (heap, position, heap->nodes[(position - 1) / 2]);
      position = (position - 1) / 2;
    }
  set_position (heap, position, node);
}

static void
sift_down (QuinceHeap *heap, QuinceHeapNode *node)
{
  guint position = node->position;
  for (;;)
    {
      guint child = 2 * position + 1;
      if (child >= heap->length)
        break;
      if (child + 1 < heap->length && comes_before (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!comes_before (heap->nodes[child], node))
        break;
      set_position (heap, position, heap->nodes[child]);
      position = child;
    }
  set_position (heap, position, node);
}

void
quince_heap_node_init (QuinceHeapNode *node, gpointer owner)
{
  node->owner = owner;
  node->position = QUINCE_HEAP_NOWHERE;
}

void
quince_heap_clear (QuinceHeap *heap)
{
  g_clear_pointer (&heap->nodes, g_free);
  heap->length = 0;
  heap->allocated = 0;
}

void
quince_heap_push (QuinceHeap *heap, QuinceHeapNode *node, gint64 key, guint64 sequence)
{
  if (heap->length == heap->allocated)
    {
      heap->allocated = MAX (16, heap->allocated * 2);
      heap->nodes = g_renew (QuinceHeapNode *, heap->nodes, heap->allocated);
    }
  node->key = key;
  node->sequence = sequence;
  set_position (heap, heap->length++, node);
  sift_up (heap, node);
}

void
quince_heap_remove (QuinceHeap *heap, QuinceHeapNode *node)
{
  if (node->position == QUINCE_HEAP_NOWHERE)
    return;
  guint position = node->position;
  QuinceHeapNode *last = heap->nodes[--heap->length];
  node->position = QUINCE_HEAP_NOWHERE;
  if (last == node)
    return;
  set_position (heap, position, last);
  sift_up (heap, last);
  sift_down (heap, last);
}

QuinceHeapNode *
quince_heap_peek (const QuinceHeap *heap)
{
  return heap->length > 0 ? heap->nodes[0] : NULL;
}
