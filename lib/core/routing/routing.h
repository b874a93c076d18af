/*
 * routing.h: which service a request goes to, and which workers serve it.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock.
 */
#pragma once

#include "core/routing/residency.h"
#include "core/routing/tenants.h"

G_BEGIN_DECLS

/* ---- Routes ----------------------------------------------------------- */

typedef enum
{
  QUINCE_ROUTE_IDEMPOTENT,   /* may run more than once                    */
  QUINCE_ROUTE_AT_MOST_ONCE, /* never a second time                       */
  QUINCE_ROUTE_STREAMING,    /* a series of events, forwarded as they come */
  QUINCE_ROUTE_ROLLOUT,      /* batches of samples                        */
} QuinceRouteKind;

/* One part of a route's traffic. */
typedef struct
{
  char *service;
  double weight;
} QuinceRoutePart;

typedef struct
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  QuinceRouteKind kind;
  guint timeout_ms;        /* 0: none */
  guint target_latency_ms; /* answers within it earn their full credit */
  guint deadline_ms;       /* rollouts: from submission to the last result; 0: none */
  guint queue_ttl_ms;      /* rollouts: a sample may be given up after it; 0: never */
  guint max_attempts;      /* at least 1 */
  guint priority;          /* 0 first */
  gboolean resumable;
  gboolean sticky;
  gboolean single_version;
  gboolean is_public; /* callers need no API key, whatever tenants there are */
  GArray *parts;      /* QuinceRoutePart, at least one */
  char **regions;     /* where it may be served, NULL-terminated; NULL: anywhere */
} QuinceRoute;

/* What one zone costs. */
typedef struct
{
  char *zone;
  double price; /* of a second of a worker, in parts of the service's usual price */
} QuinceZonePrice;

/**
 * QuinceScaling: how many workers of a service may be ordered.
 * @least, @most: bounds of each zone, all kinds of workers together
 * @boot_ms: from an order until a new worker serves
 * @prices: (element-type QuinceZonePrice): zones that are not named cost 1
 */
typedef struct
{
  guint least;
  guint most;
  guint boot_ms;
  GArray *prices;
} QuinceScaling;

typedef struct
{
  char *name;
  guint max_connections;  /* of one worker, from all callers; 0: no bound told */
  guint slots;            /* requests that a worker runs at once; 0: not told */
  GPtrArray *models;      /* names, owned */
  guint cold_start_ms;    /* how long a worker is cold after a start; 0: never */
  double cold_per_s;      /* requests a second that a cold worker bears; 0: no bound told */
  QuinceScaling *scaling; /* NULL: none may be ordered */
} QuinceService;

/* What a caller may send, and how long it may take. */
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
/* (nullable): NULL: the configuration knows no tenants, and callers need no key */
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
/* The service of the part in which @unit, from 0 to 1, falls by the weights. */
const char *quince_route_pick_service (const QuinceRoute *route, double unit);

QuinceRoute *quince_route_new (void);
void quince_route_add_part (QuinceRoute *route, const char *service, double weight);
void quince_route_free (QuinceRoute *route);
/* The regions that @route and @tenant (nullable) allow; lives as long as both. */
void
quince_route_get_residency (const QuinceRoute *route, const QuinceTenant *tenant, QuinceResidency *residency);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRoute, quince_route_free)
QuinceService *quince_service_new (const char *name);
/* For services that are in no table, as tests make them. */
void quince_service_free (QuinceService *service);
QuinceScaling *quince_scaling_new (void);

/* ---- Workers ---------------------------------------------------------- */

typedef struct
{
  char *name;
  guint64 version;
} QuinceWorkerModel;

/* Its entry says nothing of warmth. */
#define QUINCE_COLD_UNKNOWN (-1)

/* One incarnation of a worker. */
typedef struct
{
  char *id;
  char *service;
  char *software; /* version of what it runs; NULL: not told */
  char *address;
  char *zone;
  guint slots;
  gboolean draining;
  gboolean may_go;   /* it may be taken away at any moment */
  gint64 removal_us; /* a draining one is taken away so long after it said so; 0: not told */
  GArray *models;    /* QuinceWorkerModel: as last told */
  gint64 cold_us; /* how much longer it was cold when that was last told; 0: warm; or QUINCE_COLD_UNKNOWN */
  gint64
      gone_after_us; /* it is not listed, perhaps by the store's own doing: no requests after it; 0: listed */

  /* What this process sees by itself. */
  gint64 assumed_cold_until_us; /* it may have turned cold, and counts as cold until then */
  gint64 send_by_us;            /* of the request that it was last chosen for: not sent later; 0: no bound */
  gboolean loading;             /* takes new weights: begins nothing meanwhile     */
  guint running;                /* requests of this process at it now             */
  guint failures;               /* in a row                                       */
  gint64 ejected_until_us;      /* no first choice until then                    */
  guint service_us;             /* smoothed time of its answers; 0: none yet      */
  gint64 pace_us;               /* smoothed time between two events of a text; 0: none yet */
  gint64 paced_us;              /* when the pace was last measured                */
} QuinceWorker;

QuinceWorker *quince_worker_new (const char *id);
void quince_worker_free (QuinceWorker *worker);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorker, quince_worker_free)
/* For a worker that is in no table yet, as tests make them; else quince_worker_table_set_model(). */
void quince_worker_set_model (QuinceWorker *worker, const char *model, guint64 version);
/* 0: it does not have @model. */
guint64 quince_worker_get_version (const QuinceWorker *worker, const char *model);

typedef struct _QuinceWorkerTable QuinceWorkerTable;

/**
 * QuinceWorkerTableCallbacks:
 * @gone: the worker ended or was replaced: it gets no more requests. Called before it is freed
 */
typedef struct
{
  void (*gone) (QuinceWorker *worker, gpointer user_data);
} QuinceWorkerTableCallbacks;

QuinceWorkerTable *quince_worker_table_new (const QuinceWorkerTableCallbacks *callbacks, gpointer user_data);
void quince_worker_table_free (QuinceWorkerTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWorkerTable, quince_worker_table_free)
/* (transfer full): adds @told, or takes what it tells over into the worker of the same id.
 * Returns: whether something other than its load changed */
gboolean quince_worker_table_update (QuinceWorkerTable *table, QuinceWorker *told);
void quince_worker_table_remove (QuinceWorkerTable *table, const char *id);
QuinceWorker *quince_worker_table_find (QuinceWorkerTable *table, const char *id);
/* (transfer container): workers of @service, the leaving ones too, in order of their ids; not to be changed.
 */
GPtrArray *quince_worker_table_list (QuinceWorkerTable *table, const char *service);
/* (transfer container): those of them that have @model in version @minimum or a later one, leaving and
 * loading ones too; not to be changed.  Kept between calls: a leader of thousands of workers asks for each
 * sample. */
GPtrArray *quince_worker_table_list_version (QuinceWorkerTable *table,
                                             const char *service,
                                             const char *model,
                                             guint64 minimum);
/* @worker, which is in @table, has @version of @model. */
void quince_worker_table_set_model (QuinceWorkerTable *table,
                                    QuinceWorker *worker,
                                    const char *model,
                                    guint64 version);
/* (transfer container): all workers, in no order */
GPtrArray *quince_worker_table_list_all (const QuinceWorkerTable *table);
guint quince_worker_table_get_size (const QuinceWorkerTable *table);

/* An answer came after @took_us, or a failure that casts doubt on the worker. */
void quince_worker_note_answer (QuinceWorker *worker, gint64 took_us);
void quince_worker_note_failure (QuinceWorker *worker, gint64 now_us);
/* Events of a text came, on average @since_last_us after the one before. */
void quince_worker_note_event (QuinceWorker *worker, gint64 now_us, gint64 since_last_us);
/* It was told to be cold and not told to be warm since, or may have turned cold. */
gboolean quince_worker_is_cold (const QuinceWorker *worker, gint64 now_us);
/* It may turn cold, or have done so, before that is told: it counts as cold until @until_us. */
void quince_worker_assume_cold (QuinceWorker *worker, gint64 until_us);
/* Its time between two events; 0: not measured of late. */
gint64 quince_worker_get_pace_us (const QuinceWorker *worker, gint64 now_us);
/* The least of the paces of @workers (QuinceWorker); 0: none is measured. */
gint64 quince_workers_fastest_pace_us (const GPtrArray *workers, gint64 now_us);

G_END_DECLS
