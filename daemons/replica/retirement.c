/*
 * retirement.c: draining machines, and the status of each for the operator.
 */
#include "retirement.h"

#include "runtime/log.h"

#include "platform.h"

typedef enum
{
  RETIREMENT_RUNNING = 1, /* the machine is a member of the ledger */
  RETIREMENT_DONE,        /* it is no member, and may be removed */
} RetirementState;

struct _QuinceRetirement
{
  /* All fields belong to the main context. */
  QuinceMetaStore *store;
  QuinceLedgerNode *ledger;
  char **draining_nodes;      /* NULL: none */
  GHashTable *written_status; /* owned node name to RetirementState that was last written to the store */
};

/* A status write to the metadata store that is in flight. */
typedef struct
{
  QuinceRetirement *retirement;
  char *node;
} StatusWrite;

QuinceRetirement *
quince_retirement_new (QuinceMetaStore *store, QuinceLedgerNode *ledger)
{
  QuinceRetirement *retirement = g_new0 (QuinceRetirement, 1);
  retirement->store = store;
  retirement->ledger = ledger;
  retirement->written_status = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return retirement;
}

void
quince_retirement_free (QuinceRetirement *retirement)
{
  if (retirement == NULL)
    return;
  g_hash_table_unref (retirement->written_status);
  g_strfreev (retirement->draining_nodes);
  g_free (retirement);
}

void
quince_retirement_set_nodes (QuinceRetirement *retirement, const char *const *nodes)
{
  g_strfreev (retirement->draining_nodes);
  retirement->draining_nodes = g_strdupv ((char **)nodes);
  quince_ledger_node_set_draining_nodes (retirement->ledger, nodes);
}

static void
handle_write_result (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  StatusWrite *status_write = data;
  if (error != NULL)
    g_hash_table_remove (status_write->retirement->written_status,
                         status_write->node); /* the next step retries */
  g_free (status_write->node);
  g_free (status_write);
}

static void
write_status (QuinceRetirement *retirement, const char *node, RetirementState state)
{
  if (GPOINTER_TO_INT (g_hash_table_lookup (retirement->written_status, node)) >= (gint)state)
    return;
  g_hash_table_replace (retirement->written_status, g_strdup (node), GINT_TO_POINTER (state));
  StatusWrite *status_write = g_new0 (StatusWrite, 1);
  status_write->retirement = retirement;
  status_write->node = g_strdup (node);
  g_autofree char *key = quince_platform_retire_status_key (node);
  g_autoptr (GBytes) value = quince_platform_format_retire_status (state == RETIREMENT_DONE);
  const QuinceMetaChange change = { .key = key, .expected_revision = -1, .value = value };
  quince_log_info ("machine_emptied", "node=%s state=%s", node,
                   state == RETIREMENT_DONE ? "done" : "running");
  quince_meta_store_change (retirement->store, &change, 1, handle_write_result, status_write);
}

void
quince_retirement_step (QuinceRetirement *retirement)
{
  if (retirement->draining_nodes == NULL || !quince_ledger_node_may_answer (retirement->ledger))
    return;
  const QuinceLedgerView *view = quince_ledger_node_get_view (retirement->ledger);
  for (char **node = retirement->draining_nodes; *node != NULL; node++)
    write_status (retirement, *node,
                  quince_ledger_view_has_node (view, *node) ? RETIREMENT_RUNNING : RETIREMENT_DONE);
}
