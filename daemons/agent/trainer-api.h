/*
 * trainer-api.h: what trainers call: submit rollouts, pull and release steps.
 */
#pragma once

#include "worker.h"

QuinceTrainerApi *quince_trainer_api_new (QuinceWorker *worker);
void quince_trainer_api_free (QuinceTrainerApi *api);
/* Each answers @message, now or later. */
void quince_trainer_api_submit (QuinceTrainerApi *api, SoupServerMessage *message);
void quince_trainer_api_pull (QuinceTrainerApi *api, SoupServerMessage *message, const char *trainer);
void quince_trainer_api_release (QuinceTrainerApi *api, SoupServerMessage *message, const char *trainer);
/* Calls whose answer is not out yet. */
guint quince_trainer_api_get_running (const QuinceTrainerApi *api);
