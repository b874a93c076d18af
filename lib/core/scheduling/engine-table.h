/*
 * engine-table.h: what this node knows of each engine.
 *
 * Reports lag, so the table adds the grants given since the last report and
 * takes off the work that ended since.
 */
#pragma once

#include <quince/scheduler.h>

#define QUINCE_FAILURE_BUCKETS 10

/* An engine; kept alive by the table and by the grants on it. */
typedef struct
{
  guint references;
  /* As reported. */
  char *name;
  char *address;
  char *service;
  guint running;
  guint waiting;
  guint capacity;
  guint64 weight_version;
  guint64 target_version;
  gboolean same_zone;
  gboolean available;
  gint64 reported_us;
  guint64 reports;         /* counts reports; a grant remembers it             */
  gint64 leaving_heard_us; /* when a caller last heard the engine's own sign */
  guint leaving;           /* QuinceLeavingSource bits                         */
  /* Own grants. */
  guint outstanding;
  guint overdue; /* of them: expired some time ago, and no end was told */
  guint granted_since_report;
  guint ended_since_report;
  /* Grants of other nodes: name of the node -> QuincePeerLoad. */
  GHashTable *peer_loads;
  guint peers;   /* their sum                                        */
  guint holders; /* how many of them hold any                        */
  /* Measured. */
  double service_ms; /* smoothed; 0: not yet measured                    */
  double hit_rate;   /* smoothed part of the prompt that was likely cached */
  gint64 failure_second[QUINCE_FAILURE_BUCKETS];
  guint failures[QUINCE_FAILURE_BUCKETS];
  guint failures_in_row;  /* since work was last finished                    */
  gint64 paused_until_us; /* after failures: no new work before this         */
  int prefix_slot;        /* in the prefix index; -1: none                    */
} QuinceEngine;

typedef struct _QuinceEngineTable QuinceEngineTable;

QuinceEngineTable *quince_engine_table_new (const char *zone, guint report_stale_ms);
void quince_engine_table_free (QuinceEngineTable *table);

/* (nullable): refused when the table is full or the report is invalid.
 * @created: whether the engine is new. */
QuinceEngine *quince_engine_table_report (QuinceEngineTable *table,
                                          gint64 now_us,
                                          const QuinceEngineReport *report,
                                          gboolean *created);
void quince_engine_table_leaving (QuinceEngineTable *table,
                                  gint64 now_us,
                                  const char *name,
                                  QuinceLeavingSource source,
                                  gboolean leaving);
void quince_engine_table_remove (QuinceEngineTable *table, const char *name);
void quince_engine_table_peer_load (QuinceEngineTable *table,
                                    gint64 now_us,
                                    const char *node,
                                    const char *name,
                                    guint granted);
void quince_engine_table_peer_gone (QuinceEngineTable *table, const char *node);
QuinceEngine *quince_engine_table_get (QuinceEngineTable *table, const char *name);
/* QuinceEngine of the service; (nullable): none known */
const GPtrArray *quince_engine_table_of_service (QuinceEngineTable *table, const char *service);
/* Every engine; order is not defined. */
GHashTable *quince_engine_table_all (QuinceEngineTable *table);

/* By its last report, however old that is. */
gboolean quince_engine_is_serving (const QuinceEngine *engine);
/* Serving, and heard of lately. */
gboolean
quince_engine_table_usable (const QuinceEngineTable *table, const QuinceEngine *engine, gint64 now_us);

/* Slots that this node's grants hold: of those that are overdue, as many as the last report
 * has work that no other grant explains. */
guint quince_engine_held (const QuinceEngine *engine);
/* Slots in use by the best knowledge, and free ones. */
guint quince_engine_used (const QuinceEngine *engine);
guint quince_engine_free_slots (const QuinceEngine *engine);
/* A swap is ordered that has not taken place, or went wrong. */
gboolean quince_engine_off_target (const QuinceEngine *engine);

QuinceEngine *quince_engine_ref (QuinceEngine *engine);
void quince_engine_unref (QuinceEngine *engine);
/* Returns: the report count to give back with quince_engine_ended(). */
guint64 quince_engine_granted (QuinceEngine *engine, double prefix_match);
/* A grant expired so long ago that the last report shows whether it runs. */
void quince_engine_overdue (QuinceEngine *engine);
/* One that is overdue has ended, or is forgotten. */
void quince_engine_overdue_ended (QuinceEngine *engine);
/* @dispatched: the work did reach the engine */
void quince_engine_ended (QuinceEngine *engine, guint64 granted_at_report, gboolean dispatched);
void quince_engine_served (QuinceEngine *engine, guint service_ms);
/* Broken or refused work: the engine gets none for a while, doubled with each failure in a
 * row, since one that fails at once looks idle and would draw all work. */
void quince_engine_failed (QuinceEngine *engine, gint64 now_us);
guint quince_engine_recent_failures (const QuinceEngine *engine, gint64 now_us);
