/*
 * log.h: structured logging, one line of key=value pairs for each event.
 *
 * Built on GLib logging.  Lines go to standard error:
 *
 *   time=2026-01-02T03:04:05.678Z level=info program=quinceroute-front name=f1 event=request_answered
 * request=r1 status=200
 *
 * Owns the process's log writer and its counts of lines.  Thread safe.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * quince_log_init:
 * @program: program name, for example "quinceroute-front"
 * @name: name of this process in the deployment, or "" when it has none
 * @level: least severe level that is written, for example %G_LOG_LEVEL_INFO
 *
 * Installs the key=value log writer.  Call once, before any thread starts.
 */
void quince_log_init (const char *program, const char *name, GLogLevelFlags level);

/**
 * quince_log_set_output:
 * @descriptor: where lines go from now on, for example standard output
 * @lines_per_second: more are left out and counted; failures, warnings and notices have as many again for
 * themselves
 *
 * Lines are also left out while the reader of @descriptor does not read: writing never waits.  The number
 * of lines left out is logged as event=log_lines_left_out as soon as there is room.
 */
void quince_log_set_output (int descriptor, guint lines_per_second);

/**
 * quince_log_parse_level:
 * @text: one of "debug", "info", "warning", "error"
 * @level: (out): the level
 *
 * Returns: %FALSE when @text is none of these.
 */
gboolean quince_log_parse_level (const char *text, GLogLevelFlags *level);

/**
 * quince_log_event:
 * @level: severity
 * @event: event name in snake_case; a constant of the program
 * @format: printf format that yields the other key=value pairs, or ""
 *
 * Free text from outside must pass through quince_log_quote() first.
 */
void quince_log_event (GLogLevelFlags level, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);

/**
 * quince_log_quote:
 * @text: (nullable): any text
 *
 * Returns: (transfer full): @text fit to stand as a value: quoted when it
 * holds spaces, quotes, equal signs or control characters.
 */
char *quince_log_quote (const char *text);

#define quince_log_info(event, ...) quince_log_event (G_LOG_LEVEL_INFO, event, __VA_ARGS__)
/* A decision that the reading of a failure needs, such as what becomes of a batch: few lines a minute. */
#define quince_log_notice(event, ...) quince_log_event (G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define quince_log_warning(event, ...) quince_log_event (G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define quince_log_failure(event, ...) quince_log_event (G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)

G_END_DECLS
