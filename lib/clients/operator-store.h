/*
 * operator-store.h: what operators keep in the key-value service, as types.
 *
 * Reads and writes the keys of operator-keys.h.  A write is carried to a
 * definite outcome within its time: when an answer is lost, the key is read
 * back; when it still stands at the expected revision, the same
 * compare-and-swap is sent again, which is safe.
 *
 * Every operation ends with exactly one callback from the main context, never
 * before the call that asked for it returns; what the callback is given is
 * lent for its duration.  After quince_operator_store_free(), which may not be
 * called from within a callback, no callback comes any more.  Belongs to the
 * context that created it.
 */
#pragma once

#include <gio/gio.h>

#include "protocol/codec.h"
#include "clients/kv-client.h"
#include "clients/operator-keys.h"

G_BEGIN_DECLS

#define QUINCE_OPERATOR_MAX_NAME 64
#define QUINCE_OPERATOR_MAX_COMMENT 1024
#define QUINCE_OPERATOR_MAX_VOTERS 16

#define QUINCE_OPERATOR_ERROR (quince_operator_error_quark ())
GQuark quince_operator_error_quark (void);

typedef enum
{
  QUINCE_OPERATOR_ERROR_UNREACHABLE, /* certainly not carried out                     */
  QUINCE_OPERATOR_ERROR_UNKNOWN,     /* may have been carried out or be so yet        */
  QUINCE_OPERATOR_ERROR_CONFLICT,    /* another write came first: not in force        */
  QUINCE_OPERATOR_ERROR_NOT_FOUND,   /* no such event or drain                        */
  QUINCE_OPERATOR_ERROR_INVALID,     /* an argument, or what stands under the key, is not of the form */
} QuinceOperatorError;

/* Typed name for messages and scripts, for example "conflict". */
const char *quince_operator_error_get_name (const GError *error);

/* ---- Items ------------------------------------------------------------- */

typedef struct
{
  QuincePolicyBody *body; /* owned; its revision is the key's mod revision */
  char *proposal;         /* owned; random, one for each accept */
  char *author;           /* owned */
  char *comment;          /* owned */
} QuincePolicyHead;

typedef struct
{
  char *name;      /* owned */
  char *service;   /* owned; "": every service */
  gint64 start_ms; /* wall clock, Unix milliseconds */
  gint64 duration_ms;
  guint64 expected; /* requests expected at the start, 0 unknown */
  guint64 revision; /* mod revision of the key, 0 before it is written */
} QuinceOperatorEvent;

typedef struct
{
  char *engine; /* owned */
  char *by;     /* owned; who drained it */
  guint64 revision;
} QuinceOperatorDrain;

void quince_policy_head_free (QuincePolicyHead *head);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePolicyHead, quince_policy_head_free)
void quince_operator_event_free (QuinceOperatorEvent *event);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOperatorEvent, quince_operator_event_free)
void quince_operator_drain_free (QuinceOperatorDrain *drain);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOperatorDrain, quince_operator_drain_free)

/* Names of events, engines and operators: letters, digits, '-', '_', '.'; 1 to 64. */
gboolean quince_operator_name_is_valid (const char *name);

/* Parse an item as a read or a watch gives it; (transfer full) (nullable):
 * %NULL with QUINCE_OPERATOR_ERROR_INVALID when it is not of the form. */
QuincePolicyHead *quince_policy_head_parse (const QuinceKvItem *item, GError **error);
QuinceOperatorEvent *quince_operator_event_parse (const QuinceKvItem *item, GError **error);
QuinceOperatorDrain *quince_operator_drain_parse (const QuinceKvItem *item, GError **error);
QuinceReplicaSet *quince_operator_voters_parse (const QuinceKvItem *item, GError **error);

/* ---- Operations ---------------------------------------------------------- */

typedef struct _QuinceOperatorStore QuinceOperatorStore;

/* @client: not owned, outlives the store; @write_ms: time for a write to reach its outcome */
QuinceOperatorStore *quince_operator_store_new (QuinceKvClient *client, guint write_ms);
void quince_operator_store_free (QuinceOperatorStore *store);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOperatorStore, quince_operator_store_free)

/* @revision: mod revision of the key after a write */
typedef void (*QuinceOperatorDoneCallback) (guint64 revision, const GError *error, gpointer user_data);

/* @head: %NULL without error: no policy was ever accepted */
typedef void (*QuincePolicyHeadCallback) (const QuincePolicyHead *head,
                                          const GError *error,
                                          gpointer user_data);
void quince_operator_store_read_policy (QuinceOperatorStore *store,
                                        QuincePolicyHeadCallback callback,
                                        gpointer user_data);

typedef struct
{
  const char *text; /* the program, at most QUINCE_MAX_POLICY bytes */
  const char *author;
  const char *comment;
  guint64 expected; /* revision it replaces, 0: none yet */
} QuincePolicyProposal;

/**
 * QuincePolicyAcceptCallback:
 * @revision: revision the proposal was accepted under
 * @other: (nullable): on QUINCE_OPERATOR_ERROR_CONFLICT what stands there
 *   instead; %NULL when nothing does
 * @may_have_stood: on a conflict: an answer was lost before, so the proposal
 *   may have been in force until @other replaced it
 */
typedef void (*QuincePolicyAcceptCallback) (guint64 revision,
                                            const QuincePolicyHead *other,
                                            gboolean may_have_stood,
                                            const GError *error,
                                            gpointer user_data);
/* One compare-and-swap on the head.  The text is not compiled here. */
void quince_operator_store_accept_policy (QuinceOperatorStore *store,
                                          const QuincePolicyProposal *proposal,
                                          QuincePolicyAcceptCallback callback,
                                          gpointer user_data);

/* @items: QuinceOperatorEvent or QuinceOperatorDrain, by name; what does not parse is logged and left out */
typedef void (*QuinceOperatorListCallback) (GPtrArray *items, const GError *error, gpointer user_data);

/* A CONFLICT: an event of this name is there with other content. */
void quince_operator_store_create_event (QuinceOperatorStore *store,
                                         const QuinceOperatorEvent *event,
                                         QuinceOperatorDoneCallback callback,
                                         gpointer user_data);
void quince_operator_store_list_events (QuinceOperatorStore *store,
                                        QuinceOperatorListCallback callback,
                                        gpointer user_data);
void quince_operator_store_delete_event (QuinceOperatorStore *store,
                                         const char *name,
                                         QuinceOperatorDoneCallback callback,
                                         gpointer user_data);

/* Draining an engine that is drained already succeeds. */
void quince_operator_store_set_drain (QuinceOperatorStore *store,
                                      const char *engine,
                                      const char *by,
                                      QuinceOperatorDoneCallback callback,
                                      gpointer user_data);
void quince_operator_store_clear_drain (QuinceOperatorStore *store,
                                        const char *engine,
                                        QuinceOperatorDoneCallback callback,
                                        gpointer user_data);
void quince_operator_store_list_drains (QuinceOperatorStore *store,
                                        QuinceOperatorListCallback callback,
                                        gpointer user_data);

/* @voters: what stands there; %NULL without error: not written yet */
typedef void (*QuinceOperatorVotersCallback) (const QuinceReplicaSet *voters,
                                              const GError *error,
                                              gpointer user_data);
void quince_operator_store_read_voters (QuinceOperatorStore *store,
                                        QuinceOperatorVotersCallback callback,
                                        gpointer user_data);
/* Writes the first voters once.  When another process came first, ends without
 * error and with that process's set. */
void quince_operator_store_create_voters (QuinceOperatorStore *store,
                                          const QuinceReplicaSet *voters,
                                          QuinceOperatorVotersCallback callback,
                                          gpointer user_data);

G_END_DECLS
