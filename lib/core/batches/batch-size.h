/*
 * batch-size.h: memory that a decoded batch takes.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* Returns an estimate of the memory of @batch and of the samples that run it, bytes: its texts, bodies and
 * structs, and what the allocator adds to each of them. */
guint64 quince_batch_estimate_bytes (const QuinceBatchJob *batch);

G_END_DECLS
