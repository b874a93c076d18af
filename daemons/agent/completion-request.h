/*
 * completion-request.h: a caller's request as read from its headers and body.
 */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <quince/settings.h>

#include "execution.h"

/* Texts of @options point into @body and @message. */
typedef struct
{
  QuinceExecutionOptions options;
  JsonNode *body;        /* owned */
  gboolean generated_id; /* the caller named none */
} QuinceCompletionRequest;

/**
 * quince_completion_request_read:
 * @settings: for defaults
 * @now_us: monotonic
 * @wall_ms: for the id
 *
 * Returns: %FALSE when the request is not valid; it was then answered with 400
 */
gboolean quince_completion_request_read (SoupServerMessage *message,
                                         const QuinceSettings *settings,
                                         gint64 now_us,
                                         gint64 wall_ms,
                                         QuinceCompletionRequest *request);
void quince_completion_request_clear (QuinceCompletionRequest *request);
