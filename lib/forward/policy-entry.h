/*
 * policy-entry.h: entries of the metadata store that hold policy programs and events.
 *
 * The observer reads the entries, and command-line tools write them.  The revision of a policy is the
 * revision of its key, which only increases.
 */
#pragma once

#include "forward/backends.h"
#include "forward/event-table.h"

G_BEGIN_DECLS

#define QUINCE_POLICY_ENTRY_ERROR (quince_policy_entry_error_quark ())
GQuark quince_policy_entry_error_quark (void);

typedef enum
{
  QUINCE_POLICY_ENTRY_ERROR_INVALID, /* malformed entry */
} QuincePolicyEntryError;

/* Encoded as "PROPOSAL\nAUTHOR\nCOMMENT\nPROGRAM".  Author and comment are escaped to one line each. */
typedef struct
{
  char *proposal; /* random id of the proposal */
  char *author;
  char *comment;
  char *program;
} QuincePolicyEntry;

/* Returns: (transfer full): the encoded entry */
GBytes *quince_policy_entry_format (const QuincePolicyEntry *entry);
/* Returns: (transfer full) (nullable): the entry, or %NULL with @error if it has fewer than four lines */
QuincePolicyEntry *quince_policy_entry_parse (GBytes *value, GError **error);
void quince_policy_entry_free (QuincePolicyEntry *entry);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePolicyEntry, quince_policy_entry_free)

/* Returns: (transfer full): "START_MS DURATION_MS SERVICE"; the start is wall-clock time, and the service "-"
 * means all services */
GBytes *quince_event_entry_format (const QuinceEventEntry *entry);
/* @entry: (out): the caller owns its service.  Returns: %FALSE with @error if the entry is malformed; the
 * service is not set then */
gboolean quince_event_entry_parse (GBytes *value, QuinceEventEntry *entry, GError **error);

/* Loads the policy program in the file @path as revision 0, which any policy of the metadata store replaces.
 * Returns: %FALSE with @error if the file cannot be read or the program does not compile */
gboolean quince_backends_load_policy (QuinceBackends *backends, const char *path, GError **error);
/* Activates a policy of the metadata store.  Keeps the active policy if @value is malformed, does not compile
 * or has no higher revision, or if @value is %NULL: the key was deleted. */
void quince_backends_apply_policy_entry (QuinceBackends *backends, GBytes *value, guint64 revision);
/* Returns: (transfer none) (nullable): the entry of the active policy, or %NULL if it is not from the
 * metadata store.  @revision: (out): its revision; 0: from a file, or no policy */
GBytes *quince_backends_get_policy_entry (const QuinceBackends *backends, guint64 *revision);
/* Adds or replaces the event @name.  @value: (nullable): its entry, ignored if malformed; %NULL: the event
 * was deleted */
void quince_backends_apply_event_entry (QuinceBackends *backends, const char *name, GBytes *value);

G_END_DECLS
