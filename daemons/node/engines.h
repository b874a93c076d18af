/*
 * engines.h: which engines there are and how they are.
 *
 * Joins the platform's machine list with the engines of the settings, polls
 * each one's load and cache events, and tells the scheduler.
 */
#pragma once

#include <quince/engine-admin.h>

#include "node.h"

QuinceEngines *quince_engines_new (QuinceNode *node);
void quince_engines_free (QuinceEngines *engines);

/* One engine as last heard of; texts are valid during the visit. */
typedef struct
{
  const char *name;
  const char *address;
  const char *service;
  const char *zone;
  gboolean available; /* answered its last polls                       */
  gboolean leaving;   /* by its own word or by the machine list        */
  guint64 weight_version;
  guint64 target_version;
  guint64 staged_version;
  gint64 reported_us; /* when the report was made; 0: never            */
} QuinceEngineInfo;

void quince_engines_foreach (const QuinceEngines *engines,
                             void (*visit) (const QuinceEngineInfo *info, gpointer user_data),
                             gpointer user_data);

/* Whether the machine list answered when last read, or none is set. */
gboolean quince_engines_list_is_up (const QuinceEngines *engines);

typedef struct
{
  guint engines;
  guint available;
  guint64 polls;
  guint64 poll_failures;
  guint64 cache_gaps;    /* sequences of cache events that were broken     */
  guint64 list_failures; /* reads of the machine list                      */
} QuinceEnginesCounters;

void quince_engines_get_counters (const QuinceEngines *engines, QuinceEnginesCounters *out);
