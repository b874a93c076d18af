/*
 * tool.h: what every command of the operator's program "quinceroute" shares: its flags and settings, the
 * connection to the metadata store, output and exit statuses.
 *
 * Owns the settings and the client of the store.  One thread; a command starts an operation and runs the main
 * loop until the operation's callback ends it.  Relies on lib/meta and on the platform's codec of the
 * store.
 */
#pragma once

#include <argp.h>
#include <json-glib/json-glib.h>

#include "meta/meta-store.h"
#include "runtime/settings.h"

G_BEGIN_DECLS

/* Exit statuses of the program. */
typedef enum
{
  QUINCE_TOOL_OK = 0,
  QUINCE_TOOL_FAILED = 1,   /* a write was certainly not carried out */
  QUINCE_TOOL_USAGE = 2,    /* bad flags, settings or operands; nothing was tried */
  QUINCE_TOOL_CONFLICT = 3, /* another write came first */
  QUINCE_TOOL_UNKNOWN = 4,  /* the write may or may not take effect */
} QuinceToolStatus;

/* Operands that one command takes at most, for the names of log files; not measured: a deployment has fewer
 * processes on one machine. */
#define QUINCE_TOOL_OPERANDS_MAX 256

/* Flags and operands of one run; texts belong to argv, %NULL when not given. */
typedef struct
{
  /* global */
  const char *store;
  const char *config;
  gboolean json;
  /* of single commands */
  const char *expected_revision;
  const char *comment;
  const char *author;
  const char *start;
  const char *duration;
  const char *service;
  const char *expected_requests;
  /* what follows the command's name */
  const char *operands[QUINCE_TOOL_OPERANDS_MAX];
  guint n_operands;
} QuinceToolArguments;

typedef struct
{
  QuinceToolArguments arguments;
  QuinceSettings *settings; /* owned */
  QuinceMetaStore *meta;    /* owned; NULL when no --store is set */
  gboolean done;            /* the operation has ended */
  QuinceToolStatus status;  /* what the command ends with */
} QuinceTool;

/* Checks the settings and opens the client of the store; on %FALSE the reason is printed. */
gboolean quince_tool_open (QuinceTool *tool);
void quince_tool_close (QuinceTool *tool);

/* Runs the main loop until quince_tool_finish(). */
void quince_tool_wait (QuinceTool *tool);
void quince_tool_finish (QuinceTool *tool, QuinceToolStatus status);

/* Print "quinceroute: ..." to standard error and return the exit status. */
QuinceToolStatus quince_tool_fail_usage (const char *format, ...) G_GNUC_PRINTF (1, 2);
QuinceToolStatus quince_tool_fail (const char *type, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* %FALSE, with the reason printed, when no address of the store is set. */
gboolean quince_tool_require_store (const QuinceTool *tool);

/* Name of the operator: --author, else the login name where that is a valid name. (transfer full) */
char *quince_tool_get_author (const QuinceTool *tool);

/* Prints the builder's root to standard output. */
void quince_tool_print_json (JsonBuilder *builder);
/* Shorthand for members of an object. */
void quince_tool_add_string (JsonBuilder *builder, const char *name, const char *value);
void quince_tool_add_int (JsonBuilder *builder, const char *name, gint64 value);
void quince_tool_add_boolean (JsonBuilder *builder, const char *name, gboolean value);

G_END_DECLS
