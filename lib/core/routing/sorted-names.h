/*
 * sorted-names.h: lists of names in a fixed order, so that every process lists them alike.
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

/* Sorts @names (element-type utf8) by their bytes. */
static inline void
quince_names_sort (GPtrArray *names)
{
  g_ptr_array_sort (names, quince_names_compare);
}
