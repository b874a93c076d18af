/*
 * engines.h: which engines there are and how they are.
 *
 * Joins the platform's machine list with the engines of the settings, polls the
 * load and cache events of those that this node owns or stands by for, hears of
 * the others of its zone from their owners, and tells the scheduler.
 */
#pragma once

#include <quince/codec.h>
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
  gint64 reported_us; /* when the report that this node read was made; 0: never, or long ago */
} QuinceEngineInfo;

void quince_engines_foreach (const QuinceEngines *engines,
                             void (*visit) (const QuinceEngineInfo *info, gpointer user_data),
                             gpointer user_data);

/* Whether the machine list answered when last read, or none is set. */
gboolean quince_engines_list_is_up (const QuinceEngines *engines);

/* Who is alive has changed. @engines: (nullable): they are not there yet */
void quince_engines_members_changed (QuinceEngines *engines);
/* Someone has read an engine's report since @time_us, or it is not known here. */
gboolean quince_engines_is_heard_since (const QuinceEngines *engines, const char *engine, gint64 time_us);
/* Reports of the engines that this node owns, see quince_zone_duties_make_readings(). (transfer full) */
GArray *quince_engines_make_readings (QuinceEngines *engines);
/* What another node of the zone owns. */
void
quince_engines_take_readings (QuinceEngines *engines, const char *from, const QuinceEngineReadings *readings);

typedef struct
{
  guint engines;
  guint available;
  guint owned;
  guint spare;
  guint followed;
  guint64 polls;
  guint64 follow_polls;   /* of engines that others poll: too long unheard of */
  guint64 readings_taken; /* reports heard from owners                       */
  guint64 poll_failures;
  guint64 cache_gaps;    /* sequences of cache events that were broken     */
  guint64 list_failures; /* reads of the machine list                      */
} QuinceEnginesCounters;

void quince_engines_get_counters (const QuinceEngines *engines, QuinceEnginesCounters *out);
