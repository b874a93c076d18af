/*
 * observer-dialect.h: how the operator's keys and the workers' entries in the metadata store are decoded.
 *
 * The adapter to the users' platform provides one; the observer sees its typed values alone.  Functions keep
 * no state and report what they cannot read as a GError of the adapter's domain.
 */
#pragma once

#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_OPERATOR_KEY_OTHER,         /* nothing that the product acts on                     */
  QUINCE_OPERATOR_KEY_CONFIGURATION, /* routes, services, tenants and limits                 */
  QUINCE_OPERATOR_KEY_VERSION,       /* a weight version that a trainer named                */
  QUINCE_OPERATOR_KEY_RETIREMENT,    /* a machine to be emptied, for as long as the key exists */
  QUINCE_OPERATOR_KEY_EVACUATION,    /* an evacuated zone, for as long as the key exists     */
} QuinceOperatorKeyKind;

/* @name: of the machine or the zone, else ""; points into the key that was read */
typedef struct
{
  QuinceOperatorKeyKind kind;
  const char *name;
} QuinceOperatorKey;

/**
 * QuinceObserverDialect:
 * @operator_prefix: of all keys that the operator and the trainers write
 * @workers_prefix: of the workers' entries
 * @read_operator_key: what a key below @operator_prefix is about
 * @read_configuration: (transfer full) (nullable): %NULL with an error where the value is no configuration
 * @read_version: @model is (transfer full); %FALSE with an error where the value names none
 * @read_worker_id: (transfer none): id of the worker whose entry has @key; points into @key
 * @read_worker: (transfer full) (nullable): %NULL with an error where the value is no worker's entry
 * @same_worker: two entries differ in nothing but what each heartbeat of the worker changes
 */
typedef struct
{
  const char *operator_prefix;
  const char *workers_prefix;
  void (*read_operator_key) (const char *key, QuinceOperatorKey *out);
  QuinceRouteTable *(*read_configuration) (GBytes *value, GError **error);
  gboolean (*read_version) (GBytes *value, char **model, guint64 *version, GError **error);
  const char *(*read_worker_id) (const char *key);
  QuinceWorker *(*read_worker) (const char *key, GBytes *value, GError **error);
  gboolean (*same_worker) (GBytes *before, GBytes *after);
} QuinceObserverDialect;

G_END_DECLS
