/*
 * log-story.h: reads the lines that processes log, and tells the story of one request, sample or batch.
 *
 * Pure: lines come as text, in any order and from any number of processes.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_LOG_STORY_ERROR (quince_log_story_error_quark ())
GQuark quince_log_story_error_quark (void);

typedef enum
{
  QUINCE_LOG_STORY_ERROR_MALFORMED, /* no key=value line with time, level, program, name, event */
  QUINCE_LOG_STORY_ERROR_UNKNOWN,   /* an event outside the vocabulary                          */
} QuinceLogStoryError;

/* Whether the daemons on the platform log @event; see docs/OPERATIONS.md. */
gboolean quince_log_vocabulary_has (const char *event);
/* Whether @line is well formed and its event is in the vocabulary. */
gboolean quince_log_line_check (const char *line, GError **error);

typedef struct _QuinceLogStory QuinceLogStory;

QuinceLogStory *quince_log_story_new (void);
void quince_log_story_free (QuinceLogStory *story);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogStory, quince_log_story_free)

/* Takes one line; what stands before its time= is left out, and what is no log line is ignored. */
void quince_log_story_add (QuinceLogStory *story, const char *line);

/**
 * quince_log_story_tell:
 * @id: of a request, a sample or a batch
 *
 * In the order of their times: the lines that name @id, and among them what the processes concerned believed
 * of the workers concerned, of the ledger, the store, the configuration and the policy.
 *
 * Returns: (transfer full) (nullable): one line of text each, %NULL when no line names @id
 */
char *quince_log_story_tell (const QuinceLogStory *story, const char *id);

G_END_DECLS
