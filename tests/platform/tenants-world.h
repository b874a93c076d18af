/*
 * tenants-world.h: a deployment whose callers authenticate with API keys.
 */
#pragma once

#include "path-world.h"

#define KEY_A1 "key-a1-k3j9d8f7s6"
#define KEY_A2 "key-a2-p0o9i8u7y6"
#define KEY_B1 "key-b1-q1w2e3r4t5"
#define KEY_UNKNOWN "key-nobody-z9x8c7"

#define TENANTS_ALL                                                                                          \
  "{\"name\":\"tenant-a\",\"apiKeys\":[\"" KEY_A1 "\",\"" KEY_A2 "\"],\"priority\":3},"                      \
  "{\"name\":\"tenant-b\",\"apiKeys\":[\"" KEY_B1 "\"],\"priority\":1}"
/* TENANTS_ALL without the revoked KEY_A1. */
#define TENANTS_KEY_REVOKED                                                                                  \
  "{\"name\":\"tenant-a\",\"apiKeys\":[\"" KEY_A2 "\"],\"priority\":3},"                                     \
  "{\"name\":\"tenant-b\",\"apiKeys\":[\"" KEY_B1 "\"],\"priority\":1}"
#define PUBLIC_ROUTE                                                                                         \
  "{\"name\":\"p\",\"host\":\"" PATH_HOST "\",\"pathPrefix\":\"/p/\",\"kind\":\"idempotent\","               \
  "\"timeoutMs\":2000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"svc\",\"maxAttempts\":3,"         \
  "\"public\":true}"

static inline void
tenants_configure (PathWorld *world, guint version, const char *tenants)
{
  g_autofree char *base_config = g_strdup_printf (PATH_CONFIGURATION, version);
  g_auto (GStrv) parts = g_strsplit (base_config, "\"routes\":[", 2);
  g_autofree char *text
      = g_strdup_printf ("%s\"tenants\":[%s],\"routes\":[" PUBLIC_ROUTE ",%s", parts[0], tenants, parts[1]);
  standin_store_put (world->store, "op/config", text);
}

static inline guint
call_with_key (const char *address,
               const char *method,
               const char *target,
               const char *id,
               const char *text,
               const char *key,
               PathAnswer *answer)
{
  path_start_call_with_header (address, method, target, id, text, key != NULL ? "Credential" : NULL, key,
                               answer);
  AWAIT (answer->done);
  return answer->status;
}

static inline guint
status_with_key (const char *address,
                 const char *method,
                 const char *target,
                 const char *id,
                 const char *text,
                 const char *key)
{
  PathAnswer answer;
  guint status = call_with_key (address, method, target, id, text, key, &answer);
  path_answer_clear (&answer);
  return status;
}

/* Sends a lookup with a new id, so that AWAIT can retry it.  Returns its status. */
static inline guint
lookup_status (PathWorld *world, guint front, const char *key)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("lookup-%u", serial++);
  return status_with_key (path_front (world, front), "POST", "/l/1", id, "x", key);
}

/* Configures @world, starts its processes and waits until all fronts serve lookups. */
static inline void
tenants_world_start (PathWorld *world)
{
  tenants_configure (world, 7, TENANTS_ALL);
  path_register_workers (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  world->bootstrapped = TRUE;
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (status_with_key (path_front (world, i), "GET", "/quinceroute/lots/none", "q", NULL, KEY_A1)
             == 404);
      AWAIT (lookup_status (world, i, KEY_A1) == 200);
    }
}
