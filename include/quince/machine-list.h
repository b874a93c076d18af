/*
 * machine-list.h: the platform's list of live and leaving machines.
 *
 * Contract: GET /machines (docs/API.md, "Platform").  The list lags behind
 * reality: it is a hint, never proof.
 */
#pragma once

#include <gio/gio.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

#define QUINCE_MACHINE_LIST_ERROR (quince_machine_list_error_quark ())
GQuark quince_machine_list_error_quark (void);

typedef enum
{
  QUINCE_MACHINE_LIST_ERROR_UNREACHABLE,
  QUINCE_MACHINE_LIST_ERROR_PROTOCOL, /* answer that makes no sense */
} QuinceMachineListError;

/* One engine machine; texts are valid during the callback. */
typedef struct
{
  const char *name;
  const char *service;
  const char *zone;
  const char *address; /* numeric ip:port */
  gboolean leaving;
} QuinceMachine;

/* @machines: QuinceMachine, engines only; %NULL with @error */
typedef void (*QuinceMachineListCallback) (const GArray *machines, const GError *error, gpointer user_data);

/* Calls back once, but not after @cancellable was cancelled. */
void quince_machine_list_get (SoupSession *session,
                              const char *address,
                              guint timeout_ms,
                              GCancellable *cancellable,
                              QuinceMachineListCallback callback,
                              gpointer user_data);

G_END_DECLS
