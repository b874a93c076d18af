/*
 * demo-configuration.h: the routes of a deployment, as the platform's operator writes them.
 */
#pragma once

#include "deployment.h"

/* Events of each streamed text: enough that a kill of the leader falls between two. */
#define DEMO_EVENTS_PER_STREAM 8
#define DEMO_HOST "demo.example"
#define DEMO_MODEL "model-a" /* that the stand-ins of workers serve */
#define DEMO_ROLLOUT_PREFIX "/rollout/"
#define DEMO_SCORE_PREFIX "/score/"

/* Whether a trainer's samples run on @service: its workers stream. */
gboolean demo_is_model_service (const QuinceDeployment *deployment, const char *service);

/* A route for each kind of Lookups, one for samples and one for rewards.  (transfer full) */
char *demo_make_configuration (const QuinceDeployment *deployment);
