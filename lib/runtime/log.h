/*
 * log.h: structured logging, one line of key=value pairs for each event.
 *
 * Built on GLib's structured logging.  Lines are written to standard error unless quince_log_set_output()
 * selects another descriptor:
 *
 *   time=2026-01-02T03:04:05.678Z level=info program=quinceroute-front name=f1 event=request_answered
 * request=r1 status=200
 *
 * There is one log writer for each process.  All functions but quince_log_init() are thread safe.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_log_init:
 * @program: program name, for example "quinceroute-front"
 * @name: (nullable): name of this process in the deployment; NULL or "" if it has none
 * @level: lowest severity that is written, for example %G_LOG_LEVEL_INFO
 *
 * Installs the key=value log writer.  Must be called before any other thread starts.
 */
void quince_log_init (const char *program, const char *name, GLogLevelFlags level);

/**
 * quince_log_set_output:
 * @descriptor: file descriptor to write log lines to, for example standard output
 * @lines_per_second: maximum number of lines written in a second; 0 disables the limit
 *
 * Sets the output of the log and its rate limit.  The limit is twice as high for failures, warnings and
 * notices.  With a limit, lines are also dropped while @descriptor is not writable, so that a slow reader
 * does not block the process.  The number of dropped lines is logged as event=log_lines_left_out before the
 * first line of a later second.
 */
void quince_log_set_output (int descriptor, guint lines_per_second);

/**
 * quince_log_parse_level:
 * @text: one of "debug", "info", "warning", "error"
 * @level: (out): the level; unchanged if @text is invalid
 *
 * Returns: %FALSE if @text is not one of these names
 */
gboolean quince_log_parse_level (const char *text, GLogLevelFlags *level);

/**
 * quince_log_event:
 * @level: severity
 * @event: constant event name in snake_case
 * @format: printf format of the other key=value pairs
 *
 * Logs one event.  Untrusted text must be escaped with quince_log_quote().
 */
void quince_log_event (GLogLevelFlags level, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);

/**
 * quince_log_quote:
 * @text: (nullable): any text
 *
 * Returns: (transfer full): @text as a value of a key=value pair; quoted and escaped if it is empty or
 * contains spaces, quotes, equal signs, backslashes or control characters
 */
char *quince_log_quote (const char *text);

#define quince_log_info(event, ...) quince_log_event (G_LOG_LEVEL_INFO, event, __VA_ARGS__)
/* For rare decisions that are needed to analyse a failure, for example about a batch.  Written as level=info,
 * but with the rate limit of warnings. */
#define quince_log_notice(event, ...) quince_log_event (G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define quince_log_warning(event, ...) quince_log_event (G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define quince_log_failure(event, ...) quince_log_event (G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)

G_END_DECLS
