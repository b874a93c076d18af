/*
 * trainer-request.h: trainers' bodies read into ledger commands.
 */
#pragma once

#include <json-glib/json-glib.h>
#include <quince/codec.h>

/**
 * quince_trainer_request_read:
 * @kind: SUBMIT, PULL or RELEASE
 * @trainer: (nullable): from the path; %NULL: it is in the body
 * @wait_ms: (out): how long a pull may wait
 *
 * Returns: (transfer full): the command; %NULL with @error
 */
QuinceCommand *quince_trainer_request_read (QuinceCommandKind kind,
                                            JsonObject *body,
                                            const char *trainer,
                                            guint64 *wait_ms,
                                            GError **error);
