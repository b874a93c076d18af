/*
 * route-table.h: one configuration: its routes, services and tenants, and the route of a request.
 *
 * Pure.  A table never changes once it is in force; a new configuration is a new table.
 */
#pragma once

#include "core/routing/residency.h"
#include "core/routing/tenant-table.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_ROUTE_IDEMPOTENT,   /* requests may run more than once                */
  QUINCE_ROUTE_AT_MOST_ONCE, /* requests never run a second time               */
  QUINCE_ROUTE_STREAMING,    /* answers are events, forwarded as they arrive   */
  QUINCE_ROUTE_ROLLOUT,      /* batches of samples                             */
} QuinceRouteKind;

/* One part of a route's traffic, by weight. */
typedef struct
{
  char *service;
  double weight;
} QuinceWeightedService;

typedef struct
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  QuinceRouteKind kind;
  guint timeout_ms;          /* 0: none */
  guint target_latency_ms;   /* the latency objective */
  guint deadline_ms;         /* rollouts: from submission to the last result; 0: none */
  guint queue_ttl_ms;        /* rollouts: a sample may be abandoned so long after submission; 0: never */
  guint max_attempts;        /* workers that one request may be sent to, at least 1 */
  guint priority;            /* 0 first */
  gboolean resumable;        /* a stream may go on at another worker after its last event */
  gboolean sticky;           /* workers keep prompts: prefer the one that has the request's */
  gboolean single_version;   /* one weight version for all of a result */
  gboolean is_public;        /* callers need no API key, whatever tenants there are */
  GArray *weighted_services; /* QuinceWeightedService, at least one */
  char **regions;            /* where it may be served, NULL-terminated; NULL: anywhere */
} QuinceRoute;

/* Price of workers in one zone. */
typedef struct
{
  char *zone;
  double price; /* of a worker's second, relative to the service's usual price */
} QuinceZonePrice;

/**
 * QuinceScaling: how many workers of a service may be ordered.
 * @min_workers, @max_workers: limits on the workers of each zone, spot workers included
 * @boot_ms: from an order until a new worker serves
 * @prices: (element-type QuinceZonePrice): other zones have price 1
 */
typedef struct
{
  guint min_workers;
  guint max_workers;
  guint boot_ms;
  GArray *prices;
} QuinceScaling;

/* A kind of workers that serve the same requests. */
typedef struct
{
  char *name;
  guint slots;                    /* requests that a worker runs at once; 0: not given */
  GPtrArray *models;              /* names, owned */
  guint cold_start_ms;            /* how long a worker is cold after a start; 0: never */
  double cold_max_requests_per_s; /* requests a second that a cold worker can serve; 0: no limit given */
  QuinceScaling *scaling;         /* NULL: none may be ordered */
} QuinceService;

/* Limits on what callers send and how long they take. */
typedef struct
{
  guint max_head_bytes;
  guint max_body_bytes;
  guint head_timeout_ms;
  guint idle_timeout_ms;
} QuinceCallerLimits;

typedef struct _QuinceRouteTable QuinceRouteTable;

QuinceRouteTable *quince_route_table_new (guint64 version, const QuinceCallerLimits *limits);
void quince_route_table_free (QuinceRouteTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRouteTable, quince_route_table_free)
/* (transfer full): @route, @service */
void quince_route_table_add_route (QuinceRouteTable *table, QuinceRoute *route);
void quince_route_table_add_service (QuinceRouteTable *table, QuinceService *service);
/* (transfer full): @tenants; at most once */
void quince_route_table_set_tenants (QuinceRouteTable *table, QuinceTenantTable *tenants);
/* (nullable): %NULL: the configuration has no tenants, and callers need no API key */
const QuinceTenantTable *quince_route_table_get_tenants (const QuinceRouteTable *table);
guint64 quince_route_table_get_version (const QuinceRouteTable *table);
const QuinceCallerLimits *quince_route_table_get_limits (const QuinceRouteTable *table);
guint quince_route_table_get_n_routes (const QuinceRouteTable *table);
const QuinceRoute *quince_route_table_get_route (const QuinceRouteTable *table, guint index);
guint quince_route_table_get_n_services (const QuinceRouteTable *table);
const QuinceService *quince_route_table_get_service (const QuinceRouteTable *table, guint index);
const QuinceService *quince_route_table_find_service (const QuinceRouteTable *table, const char *name);
/* The route of @host (a port in it is ignored) whose prefix begins @target and is longest, or %NULL. */
const QuinceRoute *
quince_route_table_find (const QuinceRouteTable *table, const char *host, const char *target);
/* The service of the part that @fraction, a random number from 0 to 1, falls into by the weights. */
const char *quince_route_pick_service (const QuinceRoute *route, double fraction);

QuinceRoute *quince_route_new (void);
void quince_route_add_weighted_service (QuinceRoute *route, const char *service, double weight);
void quince_route_free (QuinceRoute *route);
/* The regions that @route and @tenant (nullable) allow; lives as long as both. */
void
quince_route_get_residency (const QuinceRoute *route, const QuinceTenant *tenant, QuinceResidency *residency);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRoute, quince_route_free)
QuinceService *quince_service_new (const char *name);
/* For services that are in no table, as tests make them. */
void quince_service_free (QuinceService *service);
QuinceScaling *quince_scaling_new (void);

G_END_DECLS
