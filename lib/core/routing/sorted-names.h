/*
 * sorted-names.h: sorts lists of names in byte order, so that all processes get the same order.
 */
#pragma once

#include <string.h>

#include <glib.h>

static inline gint
quince_names_compare (gconstpointer a, gconstpointer b)
{
  const char *const *first = a;
  const char *const *second = b;
  return strcmp (*first, *second);
}

/* Sorts @names (element-type utf8) in byte order. */
static inline void
quince_names_sort (GPtrArray *names)
{
  g_ptr_array_sort (names, quince_names_compare);
}
