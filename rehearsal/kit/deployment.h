/*
 * deployment.h: description of a deployment for the demo, from a settings file such as
 * examples/consortium.ini.
 *
 * A QuinceDeployment owns its plans and never changes.  Relies on runtime/settings.h.
 */
#pragma once

#include "runtime/settings.h"

G_BEGIN_DECLS

typedef struct
{
  char *name;
  guint workers;         /* spread over the zones in turn             */
  guint capacity;        /* sequences that run at once                */
  guint64 token_time_us; /* a token in a batch of one                 */
} QuinceServicePlan;

/* Lookups that one member sends in an event's burst. */
typedef struct
{
  char *name; /* member */
  char *service;
  char *kind;
  guint requests;
  gboolean repeatable;
  guint64 deadline_ms;
} QuinceMemberPlan;

typedef struct
{
  char *name;
  char *service;
  guint steps;
  guint samples_per_step;   /* a step */
  guint mean_tokens;        /* of a sample, the mean                     */
  guint staleness_bound;    /* versions */
  guint64 training_time_ms; /* training after a batch                    */
  guint steps_ahead;        /* steps submitted ahead                     */
} QuinceTrainerPlan;

typedef struct
{
  char *name;
  char *policy_path;         /* file of the policy to accept, relative to the deployment file */
  guint64 event_delay_ms;    /* from the start of the run to the event    */
  guint64 event_duration_ms; /* its duration */
  char **zones;              /* names; each has one front and one replica */
  guint n_zones;
  GPtrArray *services; /* QuinceServicePlan */
  GPtrArray *members;  /* QuinceMemberPlan  */
  GPtrArray *trainers; /* QuinceTrainerPlan */
} QuinceDeployment;

/* Returns: (transfer full) (nullable): or %NULL with QUINCE_SETTINGS_ERROR, every problem of the file in its
 * message */
QuinceDeployment *quince_deployment_load (const char *path, GError **error);
void quince_deployment_free (QuinceDeployment *deployment);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceDeployment, quince_deployment_free)

G_END_DECLS
