/*
 * deployment.h: description of a deployment to rehearse, from a settings file
 * such as examples/consortium.ini.
 */
#pragma once

#include "runtime/settings.h"

G_BEGIN_DECLS

typedef struct
{
  char *name;
  guint nodes; /* with a ledger replica on the first when @ledger */
  guint agents;
  gboolean ledger;
} QuinceZonePlan;

typedef struct
{
  char *name;
  guint workers;      /* engines, spread over the zones in turn    */
  guint capacity;     /* sequences that run at once                */
  guint64 token_us;   /* a token in a batch of one                 */
  guint64 prefill_us; /* a prompt token                            */
  guint64 swap_ms;
  guint cache_blocks;
} QuinceServicePlan;

/* Lookups that one member sends in an event's burst. */
typedef struct
{
  char *name; /* member */
  char *service;
  char *kind;
  guint requests;
  guint prompt_bytes;
  guint shared_prefix_bytes; /* of them, common to the kind             */
  guint tokens;              /* answer, the mean                          */
  gboolean repeatable;
  guint64 deadline_ms;
} QuinceMemberPlan;

typedef struct
{
  char *name;
  char *service;
  char *member;
  guint steps;
  guint samples;         /* a step */
  guint tokens;          /* of a sample, the mean                     */
  double tail_part;      /* part of the samples that run long         */
  double tail_factor;    /* and how many times longer                 */
  guint staleness_bound; /* versions */
  guint64 step_ms;       /* training after a batch                    */
  guint ahead;           /* steps submitted ahead                     */
  guint64 first_version; /* weight version at start                   */
} QuinceTrainerPlan;

typedef struct
{
  char *name;
  char *policy;            /* file of the policy to accept, relative to the deployment file */
  guint64 zone_latency_us; /* one way */
  guint64 client_latency_us;
  guint64 event_after_ms;  /* from the start of the run to the event    */
  guint64 event_ms;        /* its duration */
  guint64 sample_lease_ms; /* after which a dead agent's samples run elsewhere */
  GPtrArray *zones;        /* QuinceZonePlan    */
  GPtrArray *services;     /* QuinceServicePlan */
  GPtrArray *members;      /* QuinceMemberPlan  */
  GPtrArray *trainers;     /* QuinceTrainerPlan */
} QuinceDeployment;

QuinceDeployment *quince_deployment_load (const char *path, GError **error);
void quince_deployment_free (QuinceDeployment *deployment);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceDeployment, quince_deployment_free)

G_END_DECLS
