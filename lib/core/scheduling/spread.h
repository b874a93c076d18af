/*
 * spread.h: seeded hashing that stands in for random choice in the pure core.
 */
#pragma once

#include <glib.h>

/* The finalizer of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number generators, 2014). */
static inline guint64
quince_spread (guint64 seed, guint64 value)
{
  guint64 mixed
      = (seed ^ (value * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15))) + G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  mixed = (mixed ^ (mixed >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  mixed = (mixed ^ (mixed >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return mixed ^ (mixed >> 31);
}

/* Evenly spread in [0, 1). */
static inline double
quince_spread_unit (guint64 seed, guint64 value)
{
  return (double)(quince_spread (seed, value) >> 11) / (double)(G_GUINT64_CONSTANT (1) << 53);
}
