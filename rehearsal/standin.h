/*
 * standin.h: what every stand-in of the platform has in common.
 *
 * A stand-in serves its interface on one address and its controls
 * (/_faults, /_records, /_reset) on two: the same one, and a control address
 * that no fault can take down.  It prints one ready line, runs until SIGTERM
 * or SIGINT and exits with 0.
 */
#pragma once

#include <argp.h>
#include <libsoup/soup.h>

#include "faults.h"

G_BEGIN_DECLS

#define QUINCE_STANDIN_EXIT_OK 0
#define QUINCE_STANDIN_EXIT_FAILURE 1
#define QUINCE_STANDIN_EXIT_USAGE 2
#define QUINCE_STANDIN_EXIT_CRASH 3 /* a crash that a fault asked for */

/* Longest text field that a stand-in takes in JSON, bytes. */
#define QUINCE_STANDIN_MAX_TEXT (4 * 1024 * 1024)

/* Flags that every stand-in has; point argp_child.argp at quince_standin_argp
 * and put a QuinceStandinFlags into the child's input. */
typedef struct
{
  const char *listen;  /* ip:port of the interface  */
  const char *control; /* ip:port of the controls   */
  const char *name;
  const char *zone;
  const char *service;
  const char *log_level;
} QuinceStandinFlags;

extern const struct argp quince_standin_argp;
void quince_standin_flags_init (QuinceStandinFlags *flags, const char *name);

/* For argp parsers: parses a flag's number, or ends the program with a usage error. */
guint64 quince_standin_flag_number (const char *text, guint64 greatest, struct argp_state *state);

/**
 * QuinceStandinClass:
 * @handle: answers one request to the interface
 * @handle_control: (nullable): answers a control request of its own; %FALSE: no such path
 * @faults_changed: (nullable): faults were set or cleared
 * @records: (transfer full): JSON text of what it truly did
 * @reset: (nullable): forget records and state; the faults are already cleared
 * @stop: (nullable): called before the program ends
 */
typedef struct
{
  const char *role;
  const QuinceFaultSpec *faults;
  void (*handle) (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query);
  gboolean (*handle_control) (gpointer self, SoupServerMessage *message, const char *path);
  void (*faults_changed) (gpointer self);
  char *(*records) (gpointer self);
  void (*reset) (gpointer self);
  void (*stop) (gpointer self);
} QuinceStandinClass;

typedef struct _QuinceStandin QuinceStandin;

/**
 * quince_standin_new:
 * @class: lives as long as the stand-in
 * @fault_values: the struct that @class->faults describes
 *
 * Returns: (transfer full) (nullable): %NULL and an error when it cannot listen
 */
QuinceStandin *quince_standin_new (const QuinceStandinClass *class,
                                   const QuinceStandinFlags *flags,
                                   gpointer self,
                                   gpointer fault_values,
                                   GError **error);
void quince_standin_free (QuinceStandin *standin);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceStandin, quince_standin_free)

/* Prints the ready line, serves until a signal and returns the exit status.
 * @ready_extra: (nullable): more key=value pairs */
int quince_standin_run (QuinceStandin *standin, const char *ready_extra);
/* Ends quince_standin_run(). */
void quince_standin_quit (QuinceStandin *standin, int status);

/* Prints @error to standard error; returns the exit status for it. */
int quince_standin_report_failure (const char *role, const GError *error);

/* Faults of the way to a stand-in; the stand-in itself need not know them. */
typedef struct
{
  gboolean outage; /* refuse connections                       */
  gboolean hang;   /* accept, answer only once this is cleared */
  guint64 slow_ms; /* every request is taken up so much later  */
} QuinceNetworkFaults;

/* Rows of a fault table for a QuinceNetworkFaults member of @type. */
#define QUINCE_NETWORK_FAULT_ROWS(type, member)                                                              \
  { "outage", QUINCE_FAULT_FLAG, G_STRUCT_OFFSET (type, member.outage), NULL },                              \
      { "hang", QUINCE_FAULT_FLAG, G_STRUCT_OFFSET (type, member.hang), NULL },                              \
  {                                                                                                          \
    "slow_ms", QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET (type, member.slow_ms), NULL                             \
  }

/* Has the stand-in carry out @faults, part of its fault values, by itself. */
void quince_standin_set_network_faults (QuinceStandin *standin, const QuinceNetworkFaults *faults);

/* Closes the interface's listener and all its connections, or listens again
 * on the same port.  The control address stays. */
void quince_standin_set_listening (QuinceStandin *standin, gboolean listening);

/* Holds @message back unanswered, for a process that hangs. */
void
quince_standin_hold (QuinceStandin *standin, SoupServerMessage *message, const char *path, GHashTable *query);
/* Handles the held messages as if they had just arrived. */
void quince_standin_release_held (QuinceStandin *standin);

/* Breaks the connection of @message without an answer. */
void quince_standin_cut (SoupServerMessage *message);

/* Answers with JSON text as it stands. @json: (transfer full) */
void quince_standin_reply_text (SoupServerMessage *message, guint status, char *json);

/* TRUE when the caller has closed its end. */
gboolean quince_standin_caller_gone (SoupServerMessage *message);

/* A token bucket for rate limits; rate 0 is no limit. */
typedef struct
{
  double rate;  /* tokens a second  */
  double burst; /* greatest content */
  double level;
  gint64 updated_us;
} QuinceTokenBucket;
void quince_token_bucket_init (QuinceTokenBucket *bucket, double rate, double burst);
/* Takes @amount when it is there; else returns the milliseconds until it will be. */
gint64 quince_token_bucket_take (QuinceTokenBucket *bucket, double amount, gint64 now_us);

G_END_DECLS
