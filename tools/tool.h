/*
 * tool.h: code shared by all commands of the operators' program "quinceroute": arguments, settings, the
 * client of the metadata store, output and exit statuses.
 *
 * The program has one thread.  A command starts an operation and runs the main loop until the callback of the
 * operation calls quince_tool_finish().
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
  QUINCE_TOOL_FAILED = 1,   /* the command failed and wrote nothing, or its output was lost */
  QUINCE_TOOL_USAGE = 2,    /* invalid flags, settings or operands; no call was sent to the store */
  QUINCE_TOOL_CONFLICT = 3, /* the policy does not have the expected revision */
  QUINCE_TOOL_UNKNOWN = 4,  /* the store has not confirmed a write, which may or may not take effect */
} QuinceToolStatus;

/* Maximum number of operands of a command: more log files than one machine has processes. */
#define QUINCE_TOOL_OPERANDS_MAX 256

/* Flags and operands of the command line.  Strings belong to argv; a flag that is not given is %NULL. */
typedef struct
{
  /* global flags */
  const char *store;
  const char *config;
  gboolean json;
  /* flags of some commands */
  const char *expected_revision;
  const char *comment;
  const char *author;
  const char *start;
  const char *duration;
  const char *service;
  const char *expected_requests;
  /* operands after the name of the command */
  const char *operands[QUINCE_TOOL_OPERANDS_MAX];
  guint n_operands;
} QuinceToolArguments;

typedef struct
{
  QuinceToolArguments arguments;
  QuinceSettings *settings; /* owned */
  QuinceMetaStore *meta;    /* owned; NULL if no address of the store is set */
  gboolean done;            /* quince_tool_finish() was called */
  QuinceToolStatus status;  /* exit status of the operation */
} QuinceTool;

/* Loads the settings, and creates the client of the store if its address is set.  Prints the error and
 * returns %FALSE if the settings are invalid. */
gboolean quince_tool_open (QuinceTool *tool);
void quince_tool_close (QuinceTool *tool);

/* Runs the main loop until quince_tool_finish() is called. */
void quince_tool_wait (QuinceTool *tool);
/* Ends quince_tool_wait() and sets the status of the operation. */
void quince_tool_finish (QuinceTool *tool, QuinceToolStatus status);

/* Prints "quinceroute: usage: MESSAGE" to standard error and returns QUINCE_TOOL_USAGE. */
QuinceToolStatus quince_tool_fail_usage (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Prints "quinceroute: TYPE: MESSAGE" to standard error and returns QUINCE_TOOL_FAILED.  @type: (nullable):
 * left out if %NULL */
QuinceToolStatus quince_tool_fail (const char *type, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Prints an error and returns %FALSE if no address of the store is set. */
gboolean quince_tool_require_store (const QuinceTool *tool);

/* Returns: (transfer full): --author, else the login name, or "operator" if the login name is not valid */
char *quince_tool_get_author (const QuinceTool *tool);

/* Prints the root node of @builder to standard output. */
void quince_tool_print_json (JsonBuilder *builder);
/* These functions add a member to the current JSON object. */
void quince_tool_add_string (JsonBuilder *builder, const char *name, const char *value);
void quince_tool_add_int (JsonBuilder *builder, const char *name, gint64 value);
void quince_tool_add_boolean (JsonBuilder *builder, const char *name, gboolean value);

G_END_DECLS
