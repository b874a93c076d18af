/*
 * operator-store.c: typed operations on the operators' keys; see
 * operator-store.h.
 *
 * An operation is a read, a write, or a read and then a write that expects
 * the revision read.
 */
#include "clients/operator-store.h"

#include <string.h>

#include "runtime/log.h"

#include "kv-internal.h"
#include "operator-items.h"
#include "operator-write.h"

G_DEFINE_QUARK (quince_operator_error, quince_operator_error)

/* Belongs to the context that created it. */
struct _QuinceOperatorStore
{
  QuinceKvClient *client; /* not owned */
  guint write_ms;
  GPtrArray *pending; /* owned; StoreOperation, owned */
};

typedef gpointer (*ItemParser) (const QuinceKvItem *item, GError **error);

/* Owned by the store's pending list; each callback kind uses its own slot. */
typedef struct
{
  QuinceOperatorStore *store; /* not owned */
  char *key;                  /* owned */
  QuinceOperatorWrite *write; /* owned; NULL when none is under way */
  GSource *idle;              /* owned; failure told from the loop */
  GError *error;              /* owned; that failure */
  QuinceReplicaSet *proposed; /* owned; voters to be created */
  ItemParser parse;           /* lists */
  GDestroyNotify free_item;   /* lists */
  QuinceOperatorDoneCallback done;
  QuincePolicyHeadCallback head;
  QuincePolicyAcceptCallback accept;
  QuinceOperatorListCallback list;
  QuinceOperatorVotersCallback voters;
  gpointer user_data; /* not owned */
} StoreOperation;

const char *
quince_operator_error_get_name (const GError *error)
{
  static const char *const names[] = { "unreachable", "unknown", "conflict", "not_found", "invalid" };
  if (error == NULL || error->domain != QUINCE_OPERATOR_ERROR || (guint)error->code >= G_N_ELEMENTS (names))
    return "failed";
  return names[error->code];
}

static void
operation_free (StoreOperation *operation)
{
  quince_kv_client_cancel (operation->store->client, operation);
  if (operation->write != NULL)
    quince_operator_write_cancel (operation->write);
  if (operation->idle != NULL)
    g_source_destroy (operation->idle);
  g_clear_pointer (&operation->idle, g_source_unref);
  g_clear_error (&operation->error);
  g_clear_pointer (&operation->proposed, quince_replica_set_free);
  g_free (operation->key);
  g_free (operation);
}

QuinceOperatorStore *
quince_operator_store_new (QuinceKvClient *client, guint write_ms)
{
  QuinceOperatorStore *store = g_new0 (QuinceOperatorStore, 1);
  store->client = client;
  store->write_ms = write_ms;
  store->pending = g_ptr_array_new_with_free_func ((GDestroyNotify)operation_free);
  return store;
}

void
quince_operator_store_free (QuinceOperatorStore *store)
{
  if (store == NULL)
    return;
  g_ptr_array_unref (store->pending);
  g_free (store);
}

static StoreOperation *
operation_new (QuinceOperatorStore *store, const char *key, const char *name, gpointer user_data)
{
  StoreOperation *operation = g_new0 (StoreOperation, 1);
  operation->store = store;
  operation->key = g_strconcat (key, name, NULL);
  operation->user_data = user_data;
  g_ptr_array_add (store->pending, operation);
  return operation;
}

/* ---- Ends of an operation --------------------------------------------------------- */

static void
fail (StoreOperation *operation, const GError *error)
{
  if (operation->done != NULL)
    operation->done (0, error, operation->user_data);
  else if (operation->head != NULL)
    operation->head (NULL, error, operation->user_data);
  else if (operation->accept != NULL)
    operation->accept (0, NULL, FALSE, error, operation->user_data);
  else if (operation->list != NULL)
    operation->list (NULL, error, operation->user_data);
  else
    operation->voters (NULL, error, operation->user_data);
  g_ptr_array_remove_fast (operation->store->pending, operation);
}

static void
succeed (StoreOperation *operation, guint64 revision)
{
  operation->done (revision, NULL, operation->user_data);
  g_ptr_array_remove_fast (operation->store->pending, operation);
}

static void
fail_with (StoreOperation *operation, QuinceOperatorError code, const char *what)
{
  g_autoptr (GError) error = g_error_new (QUINCE_OPERATOR_ERROR, code, "%s: %s", operation->key, what);
  fail (operation, error);
}

/* A read that failed changed nothing. */
static void
fail_read (StoreOperation *operation, const GError *error)
{
  fail_with (operation, QUINCE_OPERATOR_ERROR_UNREACHABLE, error->message);
}

static gboolean
on_idle_failure (gpointer user_data)
{
  StoreOperation *operation = user_data;
  g_autoptr (GError) error = g_steal_pointer (&operation->error);
  fail (operation, error);
  return G_SOURCE_REMOVE;
}

/* An argument was refused: say so from the loop.  @error: (transfer full) */
static void
fail_later (StoreOperation *operation, GError *error)
{
  operation->error = error;
  operation->idle = g_idle_source_new ();
  g_source_set_callback (operation->idle, on_idle_failure, operation, NULL);
  g_source_attach (operation->idle, g_main_context_get_thread_default ());
}

static void
read_key (StoreOperation *operation, gboolean prefix, QuinceKvRangeCallback callback)
{
  quince_kv_client_get (operation->store->client, operation->key, prefix, callback, operation);
}

static void
write_key (StoreOperation *operation,
           guint64 expected,
           const char *value,
           QuinceOperatorWriteCallback callback)
{
  QuinceOperatorStore *store = operation->store;
  operation->write = quince_operator_write_start (store->client, operation->key, expected, value,
                                                  store->write_ms, callback, operation);
}

/* For writes that have nothing to say of a conflict but its error. */
static void
on_plain_write (guint64 revision,
                const QuinceKvItem *current,
                gboolean lost,
                const GError *error,
                gpointer user_data)
{
  StoreOperation *operation = user_data;
  operation->write = NULL;
  if (error != NULL)
    fail (operation, error);
  else
    succeed (operation, revision);
}

/* ---- Policy ---------------------------------------------------------------------- */

static void
on_policy_read (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  StoreOperation *operation = user_data;
  g_autoptr (GError) invalid = NULL;
  g_autoptr (QuincePolicyHead) head = NULL;
  if (error != NULL)
    {
      fail_read (operation, error);
      return;
    }
  if (items->len > 0)
    head = quince_policy_head_parse (items->pdata[0], &invalid);
  operation->head (head, invalid, operation->user_data);
  g_ptr_array_remove_fast (operation->store->pending, operation);
}

void
quince_operator_store_read_policy (QuinceOperatorStore *store,
                                   QuincePolicyHeadCallback callback,
                                   gpointer user_data)
{
  StoreOperation *operation = operation_new (store, QUINCE_KEY_POLICY_HEAD, "", user_data);
  operation->head = callback;
  read_key (operation, FALSE, on_policy_read);
}

static void
on_policy_write (guint64 revision,
                 const QuinceKvItem *current,
                 gboolean lost,
                 const GError *error,
                 gpointer user_data)
{
  StoreOperation *operation = user_data;
  operation->write = NULL;
  g_autoptr (QuincePolicyHead) other = current != NULL ? quince_policy_head_parse (current, NULL) : NULL;
  gboolean conflict = g_error_matches (error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_CONFLICT);
  operation->accept (revision, other, conflict && lost, error, operation->user_data);
  g_ptr_array_remove_fast (operation->store->pending, operation);
}

void
quince_operator_store_accept_policy (QuinceOperatorStore *store,
                                     const QuincePolicyProposal *proposal,
                                     QuincePolicyAcceptCallback callback,
                                     gpointer user_data)
{
  StoreOperation *operation = operation_new (store, QUINCE_KEY_POLICY_HEAD, "", user_data);
  operation->accept = callback;
  GError *error = NULL;
  if (!quince_policy_proposal_validate (proposal, &error))
    {
      fail_later (operation, error);
      return;
    }
  g_autofree char *proposal_id = g_uuid_string_random ();
  g_autofree char *value = quince_policy_head_format (proposal, proposal_id);
  write_key (operation, proposal->expected, value, on_policy_write);
}

/* ---- Lists ------------------------------------------------------------------------- */

static void
on_list_read (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  StoreOperation *operation = user_data;
  if (error != NULL)
    {
      fail_read (operation, error);
      return;
    }
  g_autoptr (GPtrArray) parsed = g_ptr_array_new_with_free_func (operation->free_item);
  for (guint i = 0; i < items->len; i++)
    {
      g_autoptr (GError) invalid = NULL;
      const QuinceKvItem *item = items->pdata[i];
      gpointer value = operation->parse (item, &invalid);
      if (value != NULL)
        {
          g_ptr_array_add (parsed, value);
          continue;
        }
      g_autofree char *key = quince_log_quote (item->key);
      g_autofree char *reason = quince_log_quote (invalid->message);
      quince_log_warning ("operator_item_invalid", "key=%s reason=%s", key, reason);
    }
  operation->list (parsed, NULL, operation->user_data);
  g_ptr_array_remove_fast (operation->store->pending, operation);
}

static void
list_keys (QuinceOperatorStore *store,
           const char *prefix,
           ItemParser parse,
           GDestroyNotify free_item,
           QuinceOperatorListCallback callback,
           gpointer user_data)
{
  StoreOperation *operation = operation_new (store, prefix, "", user_data);
  operation->parse = parse;
  operation->free_item = free_item;
  operation->list = callback;
  read_key (operation, TRUE, on_list_read);
}

void
quince_operator_store_list_events (QuinceOperatorStore *store,
                                   QuinceOperatorListCallback callback,
                                   gpointer user_data)
{
  list_keys (store, QUINCE_KEY_EVENTS, (ItemParser)quince_operator_event_parse,
             (GDestroyNotify)quince_operator_event_free, callback, user_data);
}

void
quince_operator_store_list_drains (QuinceOperatorStore *store,
                                   QuinceOperatorListCallback callback,
                                   gpointer user_data)
{
  list_keys (store, QUINCE_KEY_DRAIN, (ItemParser)quince_operator_drain_parse,
             (GDestroyNotify)quince_operator_drain_free, callback, user_data);
}

/* ---- Deletes: read the revision, then delete at it --------------------------------- */

static void
on_delete_read (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  StoreOperation *operation = user_data;
  if (error != NULL)
    fail_read (operation, error);
  else if (items->len == 0)
    fail_with (operation, QUINCE_OPERATOR_ERROR_NOT_FOUND, "not there");
  else
    write_key (operation, ((QuinceKvItem *)items->pdata[0])->mod_revision, NULL, on_plain_write);
}

static void
delete_key (QuinceOperatorStore *store,
            const char *prefix,
            const char *name,
            QuinceOperatorDoneCallback callback,
            gpointer user_data)
{
  StoreOperation *operation = operation_new (store, prefix, name, user_data);
  operation->done = callback;
  GError *error = NULL;
  if (quince_operator_name_validate (name, &error))
    read_key (operation, FALSE, on_delete_read);
  else
    fail_later (operation, error);
}

void
quince_operator_store_delete_event (QuinceOperatorStore *store,
                                    const char *name,
                                    QuinceOperatorDoneCallback callback,
                                    gpointer user_data)
{
  delete_key (store, QUINCE_KEY_EVENTS, name, callback, user_data);
}

void
quince_operator_store_clear_drain (QuinceOperatorStore *store,
                                   const char *engine,
                                   QuinceOperatorDoneCallback callback,
                                   gpointer user_data)
{
  delete_key (store, QUINCE_KEY_DRAIN, engine, callback, user_data);
}

/* ---- Creates ---------------------------------------------------------------------------- */

void
quince_operator_store_create_event (QuinceOperatorStore *store,
                                    const QuinceOperatorEvent *event,
                                    QuinceOperatorDoneCallback callback,
                                    gpointer user_data)
{
  StoreOperation *operation = operation_new (store, QUINCE_KEY_EVENTS, event->name, user_data);
  operation->done = callback;
  GError *error = NULL;
  if (!quince_operator_event_validate (event, &error))
    {
      fail_later (operation, error);
      return;
    }
  g_autofree char *value = quince_operator_event_format (event);
  write_key (operation, 0, value, on_plain_write);
}

/* Whoever drained the engine: it is drained. */
static void
on_drain_write (guint64 revision,
                const QuinceKvItem *current,
                gboolean lost,
                const GError *error,
                gpointer user_data)
{
  StoreOperation *operation = user_data;
  operation->write = NULL;
  if (current != NULL)
    succeed (operation, current->mod_revision);
  else if (error != NULL)
    fail (operation, error);
  else
    succeed (operation, revision);
}

void
quince_operator_store_set_drain (QuinceOperatorStore *store,
                                 const char *engine,
                                 const char *by,
                                 QuinceOperatorDoneCallback callback,
                                 gpointer user_data)
{
  StoreOperation *operation = operation_new (store, QUINCE_KEY_DRAIN, engine, user_data);
  operation->done = callback;
  GError *error = NULL;
  if (!quince_operator_name_validate (engine, &error) || !quince_operator_name_validate (by, &error))
    {
      fail_later (operation, error);
      return;
    }
  g_autofree char *value = quince_operator_drain_format (engine, by);
  write_key (operation, 0, value, on_drain_write);
}

/* ---- Ledger voters -------------------------------------------------------------------- */

static void
end_voters (StoreOperation *operation, const QuinceKvItem *item)
{
  g_autoptr (GError) invalid = NULL;
  g_autoptr (QuinceReplicaSet) voters = item != NULL ? quince_operator_voters_parse (item, &invalid) : NULL;
  operation->voters (voters, invalid, operation->user_data);
  g_ptr_array_remove_fast (operation->store->pending, operation);
}

static void
on_voters_read (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  StoreOperation *operation = user_data;
  if (error != NULL)
    fail_read (operation, error);
  else
    end_voters (operation, items->len > 0 ? items->pdata[0] : NULL);
}

void
quince_operator_store_read_voters (QuinceOperatorStore *store,
                                   QuinceOperatorVotersCallback callback,
                                   gpointer user_data)
{
  StoreOperation *operation = operation_new (store, QUINCE_KEY_LEDGER_VOTERS, "", user_data);
  operation->voters = callback;
  read_key (operation, FALSE, on_voters_read);
}

static void
on_voters_write (guint64 revision,
                 const QuinceKvItem *current,
                 gboolean lost,
                 const GError *error,
                 gpointer user_data)
{
  StoreOperation *operation = user_data;
  operation->write = NULL;
  if (current != NULL)
    end_voters (operation, current);
  else if (error != NULL)
    fail (operation, error);
  else
    {
      operation->voters (operation->proposed, NULL, operation->user_data);
      g_ptr_array_remove_fast (operation->store->pending, operation);
    }
}

void
quince_operator_store_create_voters (QuinceOperatorStore *store,
                                     const QuinceReplicaSet *voters,
                                     QuinceOperatorVotersCallback callback,
                                     gpointer user_data)
{
  StoreOperation *operation = operation_new (store, QUINCE_KEY_LEDGER_VOTERS, "", user_data);
  operation->voters = callback;
  guint length = voters->voters.voters_len;
  if (length == 0 || length > QUINCE_OPERATOR_MAX_VOTERS)
    {
      fail_later (operation, g_error_new_literal (QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_INVALID,
                                                  "ledger voters: not 1 to 16 replicas"));
      return;
    }
  operation->proposed = quince_replica_set_copy (voters);
  g_autofree char *value = quince_operator_voters_format (voters);
  write_key (operation, 0, value, on_voters_write);
}
