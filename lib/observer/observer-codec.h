/*
 * observer-codec.h: functions that decode the operator's keys and the workers' entries in the metadata
 * store.
 *
 * The platform adapter implements them, so that the observer handles only typed values.  The functions
 * are stateless, and report a value that cannot be decoded as a GError of the adapter's domain.
 */
#pragma once

#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_OPERATOR_KEY_OTHER,         /* ignored */
  QUINCE_OPERATOR_KEY_CONFIGURATION, /* routes, services, tenants and limits */
  QUINCE_OPERATOR_KEY_VERSION,       /* a weight version that a trainer announced */
  QUINCE_OPERATOR_KEY_RETIREMENT,    /* a machine that drains while the key exists */
  QUINCE_OPERATOR_KEY_EVACUATION,    /* a zone that is evacuated while the key exists */
} QuinceOperatorKeyKind;

/* @name: name of the machine or zone if @kind is RETIREMENT or EVACUATION; points into the key that was
 * decoded */
typedef struct
{
  QuinceOperatorKeyKind kind;
  const char *name;
} QuinceOperatorKey;

/**
 * QuinceObserverCodec:
 * @operator_prefix: prefix of all keys that the operator and the trainers write
 * @workers_prefix: prefix of the workers' entries
 * @read_operator_key: decodes the kind and name of a key under @operator_prefix
 * @read_configuration: (transfer full) (nullable): decodes a configuration; %NULL with an error if it is
 *   malformed
 * @read_version: decodes an announced version; @model is (transfer full).  %FALSE with an error if it is
 *   malformed
 * @read_worker_id: (transfer none): returns the id of the worker whose entry has @key; points into @key
 * @read_worker: (transfer full) (nullable): decodes a worker's entry; %NULL with an error if it is malformed
 * @same_worker: returns whether two entries of a worker differ only in fields that each heartbeat changes
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
} QuinceObserverCodec;

G_END_DECLS
