/*
 * engine-readings.h: what an engine's owner tells the other nodes of its zone (pure).
 *
 * Twelve bytes an engine.  What does not fit them is not told; the others
 * then poll the engine by themselves.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

/* An engine's report, as its owner read it. */
typedef struct
{
  guint running;
  guint waiting;
  guint capacity;
  guint64 weight_version;
  guint64 target_version; /* 0: none ordered                               */
  gboolean leaving;       /* by the engine's own word                      */
  gint64 age_us;          /* since its owner read it                       */
} QuinceEngineFigures;

/* Stands for the engine's name; two names may share one. */
guint32 quince_engine_reading_key (const char *engine);
/* The base for versions @a and @b of one engine and what the base was: the least but 0. */
guint64 quince_engine_reading_base (guint64 base, guint64 a, guint64 b);
/* FALSE when the figures do not fit.  An age is rounded up. */
gboolean quince_engine_reading_pack (const char *engine,
                                     const QuinceEngineFigures *figures,
                                     guint64 base_version,
                                     QuinceEngineReading *out);
void quince_engine_reading_unpack (const QuinceEngineReading *reading,
                                   guint64 base_version,
                                   QuinceEngineFigures *out);

/* Relates a sender's monotonic clock to the own one; all 0 at first. */
typedef struct
{
  guint64 incarnation; /* of the sender; 0: not heard yet                  */
  gint64 least_us;     /* least difference of the clocks, ages             */
  gint64 aged_us;
} QuinceTransitClock;

/* When a message stamped @sent_us that came at @now_us was sent, by the own clock.  The
 * fastest message of an incarnation is taken to have come at once. */
gint64
quince_transit_clock_sent_at (QuinceTransitClock *clock, guint64 incarnation, guint64 sent_us, gint64 now_us);

G_END_DECLS
