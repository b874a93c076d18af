/*
 * heap.h: binary heap of nodes embedded in other structs, least key first.
 *
 * A node knows its position, so any node can be taken out in O(log n).
 */
#pragma once

#include <glib.h>

#define QUINCE_HEAP_NOWHERE G_MAXUINT

/* @key, @sequence: order; @owner: struct that embeds the node; @position: owned by the heap. */
typedef struct
{
  gint64 key;
  guint64 sequence;
  gpointer owner;
  guint position;
} QuinceHeapNode;

/* Owns the array, not the nodes. */
typedef struct
{
  QuinceHeapNode **nodes;
  guint length;
  guint allocated;
} QuinceHeap;

void quince_heap_node_init (QuinceHeapNode *node, gpointer owner);
void quince_heap_clear (QuinceHeap *heap);
void quince_heap_push (QuinceHeap *heap, QuinceHeapNode *node, gint64 key, guint64 sequence);
/* Does nothing when the node is in no heap. */
void quince_heap_remove (QuinceHeap *heap, QuinceHeapNode *node);
/* (nullable): the node with the least key */
QuinceHeapNode *quince_heap_peek (const QuinceHeap *heap);
