/*
 * batch-size.c: memory that a decoded batch takes.
 */
#include "core/batches/batch-size.h"

#include <string.h>

/* Smallest allocation with its header, bytes (glibc on 64-bit machines, as the two below). */
#define ALLOCATION_MIN_BYTES 32
/* Larger allocations are multiples of this size, bytes. */
#define ALLOCATION_UNIT_BYTES 16
/* What the allocator puts before an allocation, bytes. */
#define ALLOCATION_HEADER_BYTES 8
/* State of a sample that waits, without its text, bytes. */
#define SAMPLE_BYTES 512

static guint64
estimate_allocation (guint64 bytes)
{
  guint64 units = (bytes + ALLOCATION_HEADER_BYTES + ALLOCATION_UNIT_BYTES - 1) / ALLOCATION_UNIT_BYTES;
  return MAX (ALLOCATION_MIN_BYTES, units * ALLOCATION_UNIT_BYTES);
}

static guint64
estimate_text (const char *text)
{
  return text != NULL ? estimate_allocation (strlen (text) + 1) : 0;
}

static guint64
estimate_item (const QuinceBatchItem *item)
{
  guint64 bytes = sizeof *item + SAMPLE_BYTES;
  bytes += estimate_text (item->id) + estimate_text (item->path) + estimate_text (item->group);
  bytes += estimate_allocation (item->body.body_len);
  bytes += estimate_allocation (item->headers.headers_len * sizeof (QuinceTextPair));
  for (guint i = 0; i < item->headers.headers_len; i++)
    bytes += estimate_text (item->headers.headers_val[i].name)
             + estimate_text (item->headers.headers_val[i].value);
  for (guint i = 0; i < item->reward.reward_len; i++)
    {
      const QuinceRewardCall *reward = &item->reward.reward_val[i];
      bytes += estimate_allocation (sizeof *reward) + estimate_allocation (reward->body.body_len);
      bytes += estimate_text (reward->id) + estimate_text (reward->host) + estimate_text (reward->path);
    }
  return bytes;
}

guint64
quince_batch_estimate_bytes (const QuinceBatchJob *batch)
{
  guint64 bytes = estimate_allocation (sizeof *batch);
  for (guint i = 0; i < batch->items.items_len; i++)
    bytes += estimate_item (&batch->items.items_val[i]);
  return bytes;
}
