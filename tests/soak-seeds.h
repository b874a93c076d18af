/*
 * soak-seeds.h: the seeds of randomized tests.  A long soak sets the environment variables SOAK_SEED, its
 * first seed, and SOAK_STEPS, the number of seeds.
 */
#pragma once

#include <glib.h>
#include <stdlib.h>

static inline guint32
get_first_seed (void)
{
  const char *first = g_getenv ("SOAK_SEED");
  return first != NULL ? (guint32)strtoul (first, NULL, 10) : 1;
}

/* @default_count: number of seeds of a short run */
static inline guint32
get_n_seeds (guint32 default_count)
{
  const char *count = g_getenv ("SOAK_STEPS");
  return count != NULL ? (guint32)strtoul (count, NULL, 10) : default_count;
}
