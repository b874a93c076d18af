/*
 * policy-entry.h: policy programs and events, as keys of the metadata store.
 *
 * A policy's revision is that of its key, so it only rises.
 *
 * For: the observer, which reads the keys; tools, which write them.  Owns nothing.  Relies on: backends.h,
 * which holds what is in force.
 */
#pragma once

#include "forward/backends.h"
#include "forward/event-table.h"

G_BEGIN_DECLS

#define QUINCE_POLICY_ENTRY_ERROR (quince_policy_entry_error_quark ())
GQuark quince_policy_entry_error_quark (void);

typedef enum
{
  QUINCE_POLICY_ENTRY_ERROR_INVALID, /* not of the form below */
} QuincePolicyEntryError;

/* "PROPOSAL\nAUTHOR\nCOMMENT\nPROGRAM"; author and comment are escaped, so that each is one line. */
typedef struct
{
  char *proposal; /* random, one for each accept */
  char *author;
  char *comment;
  char *program;
} QuincePolicyEntry;

GBytes *quince_policy_entry_format (const QuincePolicyEntry *entry);
QuincePolicyEntry *quince_policy_entry_parse (GBytes *value, GError **error);
void quince_policy_entry_free (QuincePolicyEntry *entry);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePolicyEntry, quince_policy_entry_free)

/* "START_MS DURATION_MS SERVICE": wall clock, ms; service "-": every one. */
GBytes *quince_event_entry_format (const QuinceEventEntry *entry);
/* @entry: (out): its service is owned by the caller.  Returns: %FALSE with @error: no event entry */
gboolean quince_event_entry_parse (GBytes *value, QuinceEventEntry *entry, GError **error);

/* Puts the program of a file in force as revision 0, until operators accept one. */
gboolean quince_backends_load_policy (QuinceBackends *backends, const char *path, GError **error);
/* Takes a policy from the metadata store; one that is not newer, or does not compile, changes nothing.
 * @value %NULL: the key is gone, which changes nothing either. */
void quince_backends_apply_policy_entry (QuinceBackends *backends, GBytes *value, guint64 revision);
/* (nullable) (transfer none): the accepted policy that is in force, as it was taken; %NULL: that of the
 * settings is.  @revision: (out): of the policy in force */
GBytes *quince_backends_get_policy_entry (const QuinceBackends *backends, guint64 *revision);
/* @value %NULL: the event is deleted. */
void quince_backends_apply_event_entry (QuinceBackends *backends, const char *name, GBytes *value);

G_END_DECLS
