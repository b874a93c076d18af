/*
 * tool.h: what every command of the operator's program "quinceroute" shares:
 * its flags, the key-value service, the nodes, output and exit statuses.
 *
 * One thread; a command starts an operation and runs the main loop until the
 * operation's callback came.  Every operation is bounded in time.
 */
#pragma once

#include <argp.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "meta/meta-store.h"
#include "clients/operator-store.h"
#include "runtime/settings.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_TOOL_OK = 0,
  QUINCE_TOOL_FAILED = 1,
  QUINCE_TOOL_USAGE = 2,
  QUINCE_TOOL_CONFLICT = 3,
  QUINCE_TOOL_UNKNOWN = 4, /* the write may or may not take effect */
} QuinceToolStatus;

#define QUINCE_TOOL_WORDS_MAX 256

/* Flags and words of one run; texts belong to argv, %NULL when not given. */
typedef struct
{
  /* global */
  const char *kv;
  const char *store;
  const char *nodes;
  const char *config;
  gboolean json;
  /* of single commands */
  const char *expect;
  const char *comment;
  const char *author;
  const char *start;
  const char *duration;
  const char *service;
  const char *expected;
  /* words after the command */
  const char *words[QUINCE_TOOL_WORDS_MAX];
  guint n_words;
} QuinceToolArguments;

typedef struct
{
  QuinceToolArguments arguments;
  QuinceSettings *settings;   /* owned */
  char **node_addresses;      /* owned */
  QuinceKvClient *client;     /* owned; NULL when no --kv is set */
  QuinceOperatorStore *store; /* owned; NULL when no --kv is set */
  QuinceMetaStore *meta;      /* owned; NULL when no --store is set */
  SoupSession *session;       /* owned */
  gboolean done;              /* the operation's callback came */
  QuinceToolStatus status;    /* what the command ends with */
} QuinceTool;

/* Checks the settings and opens the clients; on %FALSE the reason is printed. */
gboolean quince_tool_open (QuinceTool *tool);
void quince_tool_close (QuinceTool *tool);

/* Runs the main loop until quince_tool_finish(). */
void quince_tool_wait (QuinceTool *tool);
void quince_tool_finish (QuinceTool *tool, QuinceToolStatus status);

/* Print "quinceroute: ..." to standard error and return the exit status. */
QuinceToolStatus quince_tool_usage (const char *format, ...) G_GNUC_PRINTF (1, 2);
QuinceToolStatus quince_tool_fail (const char *type, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Also maps conflict and unknown outcome to their exit statuses. */
QuinceToolStatus quince_tool_fail_error (const GError *error);

/* %FALSE, with the reason printed, when no --kv, or no --node, is set. */
gboolean quince_tool_need_store (const QuinceTool *tool);
gboolean quince_tool_need_nodes (const QuinceTool *tool);

/* Name of the operator: --author, else the login name as far as it is a valid name. (transfer full) */
char *quince_tool_get_author (const QuinceTool *tool);

/* Prints the builder's root to standard output. */
void quince_tool_print_json (JsonBuilder *builder);
/* Shorthand for members of an object. */
void quince_tool_add_text (JsonBuilder *builder, const char *name, const char *value);
void quince_tool_add_number (JsonBuilder *builder, const char *name, gint64 value);
void quince_tool_add_flag (JsonBuilder *builder, const char *name, gboolean value);

G_END_DECLS
