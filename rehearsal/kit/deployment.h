/*
 * deployment.h: loads the description of a demo deployment from a settings file such as
 * examples/consortium.ini.
 *
 * A QuinceDeployment owns its plans and is immutable.
 */
#pragma once

#include "runtime/settings.h"

G_BEGIN_DECLS

typedef struct
{
  char *name;
  guint workers;         /* assigned to the zones round-robin */
  guint capacity;        /* concurrent sequences per worker */
  guint64 token_time_us; /* time to generate a token at batch size 1 */
} QuinceServicePlan;

/* Lookups that a member sends in the burst. */
typedef struct
{
  char *name;
  char *service;
  char *kind; /* of the lookups; names their route */
  guint requests;
  gboolean repeatable; /* a request may run more than once */
  guint64 deadline_ms; /* of each request */
} QuinceMemberPlan;

typedef struct
{
  char *name;
  char *service;
  guint steps;
  guint samples_per_step;
  guint mean_tokens;        /* mean length of a sample */
  guint staleness_bound;    /* maximum number of weight versions that a sample may lag behind */
  guint64 training_time_ms; /* duration of a training step, without the wait for samples */
  guint steps_ahead;        /* maximum number of steps submitted ahead of the current one */
} QuinceTrainerPlan;

typedef struct
{
  char *name;
  char *policy_path;      /* policy file; a relative setting is resolved from the deployment file's folder */
  guint64 event_delay_ms; /* from the request that creates the event to its start */
  guint64 event_duration_ms;
  char **zones; /* names, NULL-terminated; each zone has one front and one replica */
  guint n_zones;
  GPtrArray *services; /* QuinceServicePlan, owned */
  GPtrArray *members;  /* QuinceMemberPlan, owned */
  GPtrArray *trainers; /* QuinceTrainerPlan, owned */
} QuinceDeployment;

/**
 * quince_deployment_load:
 * @path: settings file of the deployment
 *
 * Returns: (transfer full) (nullable): the deployment, or %NULL with a QUINCE_SETTINGS_ERROR whose message
 *   lists all problems of the file
 */
QuinceDeployment *quince_deployment_load (const char *path, GError **error);
void quince_deployment_free (QuinceDeployment *deployment);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceDeployment, quince_deployment_free)

G_END_DECLS
