/*
 * demo-configuration.h: generates the platform configuration of a demo deployment.
 */
#pragma once

#include "deployment.h"

/* Enough events that the leader is killed between two events of a stream. */
#define DEMO_EVENTS_PER_STREAM 8
#define DEMO_HOST "demo.example"
#define DEMO_MODEL "model-a" /* model that the simulated workers serve */
#define DEMO_ROLLOUT_PREFIX "/rollout/"
#define DEMO_SCORE_PREFIX "/score/"

/* Returns: whether a trainer generates its samples on @service; workers of such a service stream */
gboolean demo_is_model_service (const QuinceDeployment *deployment, const char *service);

/* Creates one route for each kind of lookup, one for samples and one for rewards.
 *
 * Returns: (transfer full): the configuration as JSON */
char *demo_make_configuration (const QuinceDeployment *deployment);
