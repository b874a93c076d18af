/*
 * regions-members-world.h: a deployment of two regions in which a test chooses the ledger's members.
 */
#pragma once

#include "core/group/ledger-view.h"

#include "regions-world.h"

/* A replica in the east. */
#define JOINER 0

static inline guint
count_members (const RelayedWorld *world)
{
  g_autoptr (GBytes) bytes = standin_store_get_bytes (world->path->store, "quinceroute/ledger");
  if (bytes == NULL)
    return 0;
  gsize length;
  gconstpointer data = g_bytes_get_data (bytes, &length);
  QuinceLedgerView *view = quince_ledger_view_decode (data, length, NULL);
  guint count = view != NULL ? view->members.members_len : 0;
  g_clear_pointer (&view, quince_ledger_view_free);
  return count;
}

/* Starts @replicas one after the other, so that each is a member before the next one runs. */
static inline void
start_members (RelayedWorld *world, const guint *replicas, guint n_replicas)
{
  for (guint i = 0; i < n_replicas; i++)
    {
      relayed_start_process (world, RELAYED_REPLICA_PROCESS (replicas[i]));
      AWAIT (count_members (world) == i + 1);
    }
}

static inline void
start_spares (RelayedWorld *world)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->path->replicas[i] == NULL)
      relayed_start_process (world, RELAYED_REPLICA_PROCESS (i));
}

static inline void
start_fronts (RelayedWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    relayed_start_process (world, i);
  world->path->bootstrapped = TRUE;
  relayed_await_service (world);
}

/* The metadata store answers nothing of @replica that it asks from now on. */
static inline void
hold_store_of (RelayedWorld *world, guint replica, gboolean held)
{
  relayed_set_paused (world, RELAYED_REPLICA_PROCESS (replica), RELAYED_STORE, held);
}

/* @replica has proposed a view of so many members. */
static inline gboolean
has_proposed (const RelayedWorld *world, guint replica, guint members)
{
  g_autofree char *members_text = g_strdup_printf (" members=%u on_revision", members);
  g_autofree char *text = quince_process_read_output (world->path->replicas[replica]);
  const char *latest = g_strrstr (text, "event=view_proposed");
  return latest != NULL && strstr (latest, members_text) != NULL;
}
