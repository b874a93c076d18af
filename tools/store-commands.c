/*
 * store-commands.c: policies and events on the users' platform.
 *
 * A write under a condition is carried to a definite outcome: when its answer is lost the key is read back,
 * and where the condition still holds the same write is sent again, which is safe.
 */
#include "store-commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "observer/observer.h"
#include "forward/policy-entry.h"

#define TRIES_MAX 8

/* One call and its answer. */
typedef struct
{
  QuinceTool *tool;
  GBytes *value; /* owned */
  guint64 revision;
  int error; /* QuinceMetaError, or -1 */
} Call;

static void
call_clear (Call *call)
{
  g_clear_pointer (&call->value, g_bytes_unref);
}

static void
call_answered (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  Call *call = data;
  call->error = error != NULL ? error->code : -1;
  call->revision = number;
  if (page != NULL && page->items->len > 0)
    {
      const QuinceMetaItem *item = page->items->pdata[0];
      call->value = item->value != NULL ? g_bytes_ref (item->value) : NULL;
      call->revision = item->revision;
    }
  quince_tool_finish (call->tool, QUINCE_TOOL_OK);
}

static void
read_key (QuinceTool *tool, const char *key, Call *call)
{
  call_clear (call);
  *call = (Call){ .tool = tool };
  quince_meta_store_get (tool->meta, key, call_answered, call);
  quince_tool_wait (tool);
}

static void
write_key (QuinceTool *tool, const char *key, GBytes *value, gint64 expected, Call *call)
{
  const QuinceMetaChange change = { .key = key, .expected_revision = expected, .value = value };
  call_clear (call);
  *call = (Call){ .tool = tool };
  quince_meta_store_change (tool->meta, &change, 1, call_answered, call);
  quince_tool_wait (tool);
}

static QuinceToolStatus
fail_of (int error)
{
  switch (error)
    {
    case QUINCE_META_ERROR_CONFLICT:
      quince_tool_fail ("conflict", "another write came first");
      return QUINCE_TOOL_CONFLICT;
    case QUINCE_META_ERROR_UNKNOWN:
      quince_tool_fail ("unknown", "the write may or may not take effect");
      return QUINCE_TOOL_UNKNOWN;
    default:
      return quince_tool_fail ("unreachable", "the metadata store does not answer");
    }
}

/* ---- Policies --------------------------------------------------------- */

static gboolean
is_proposal (GBytes *value, const char *proposal)
{
  g_autoptr (QuincePolicyEntry) entry = value != NULL ? quince_policy_entry_parse (value, NULL) : NULL;
  return entry != NULL && g_str_equal (entry->proposal, proposal);
}

static QuinceToolStatus
carry_out (QuinceTool *tool, GBytes *value, const char *proposal, guint64 expected, guint64 *revision)
{
  Call call = { 0 };
  int error = -1;
  for (guint i = 0; i < TRIES_MAX; i++)
    {
      write_key (tool, QUINCE_POLICY_KEY, value, (gint64)expected, &call);
      error = call.error;
      *revision = call.revision;
      if (error == -1)
        return QUINCE_TOOL_OK;
      read_key (tool, QUINCE_POLICY_KEY, &call);
      gboolean ours = call.error == -1 && is_proposal (call.value, proposal);
      gboolean unchanged = call.error == QUINCE_META_ERROR_GONE ? expected == 0 : call.revision == expected;
      *revision = call.revision;
      call_clear (&call);
      if (ours)
        return QUINCE_TOOL_OK;
      if (!unchanged)
        {
          quince_tool_fail ("conflict",
                            "revision %" G_GUINT64_FORMAT
                            " was accepted meanwhile, revision %" G_GUINT64_FORMAT " was expected",
                            *revision, expected);
          return QUINCE_TOOL_CONFLICT;
        }
    }
  return fail_of (error);
}

QuinceToolStatus
quince_store_policy_accept (QuinceTool *tool, const char *program)
{
  Call call = { 0 };
  read_key (tool, QUINCE_POLICY_KEY, &call);
  guint64 expected = call.error == -1 ? call.revision : 0;
  if (call.error != -1 && call.error != QUINCE_META_ERROR_GONE)
    return fail_of (call.error);
  call_clear (&call);
  if (tool->arguments.expect != NULL)
    expected = g_ascii_strtoull (tool->arguments.expect, NULL, 10);
  g_autofree char *author = quince_tool_get_author (tool);
  g_autofree char *proposal = g_uuid_string_random ();
  const QuincePolicyEntry entry = { proposal, author, (char *)tool->arguments.comment, (char *)program };
  g_autoptr (GBytes) value = quince_policy_entry_format (&entry);
  guint64 revision = 0;
  QuinceToolStatus status = carry_out (tool, value, proposal, expected, &revision);
  if (status == QUINCE_TOOL_OK)
    printf ("accepted revision %" G_GUINT64_FORMAT ", replaces %" G_GUINT64_FORMAT "\n", revision, expected);
  return status;
}

QuinceToolStatus
quince_store_policy_show (QuinceTool *tool)
{
  Call call = { 0 };
  read_key (tool, QUINCE_POLICY_KEY, &call);
  if (call.error == QUINCE_META_ERROR_GONE)
    {
      printf ("-- no policy was accepted yet: the one of the settings is in force\n");
      return QUINCE_TOOL_OK;
    }
  if (call.error != -1)
    return fail_of (call.error);
  g_autoptr (GError) error = NULL;
  g_autoptr (QuincePolicyEntry) entry = quince_policy_entry_parse (call.value, &error);
  call_clear (&call);
  if (entry == NULL)
    return quince_tool_fail ("invalid", "%s", error->message);
  /* Heading lines are Lua comments, so that the output is itself the program. */
  printf ("-- revision %" G_GUINT64_FORMAT "\n-- by %s: %s\n%s", call.revision, entry->author, entry->comment,
          entry->program);
  return QUINCE_TOOL_OK;
}

/* ---- Events ----------------------------------------------------------- */

static QuinceToolStatus
write_entry (QuinceTool *tool, const char *prefix, const char *name, GBytes *value)
{
  g_autofree char *key = g_strconcat (prefix, name, NULL);
  Call call = { 0 };
  int error = -1;
  /* Without a condition the same write may be done twice. */
  for (guint i = 0; i < TRIES_MAX; i++)
    {
      write_key (tool, key, value, -1, &call);
      error = call.error;
      if (error == -1)
        return QUINCE_TOOL_OK;
    }
  return fail_of (error);
}

QuinceToolStatus
quince_store_event_create (QuinceTool *tool,
                           const char *name,
                           gint64 start_ms,
                           gint64 duration_ms,
                           const char *service)
{
  const QuinceEventEntry entry = { start_ms, duration_ms, (char *)service };
  g_autoptr (GBytes) value = quince_event_entry_format (&entry);
  return write_entry (tool, QUINCE_EVENTS_PREFIX, name, value);
}

QuinceToolStatus
quince_store_event_delete (QuinceTool *tool, const char *name)
{
  return write_entry (tool, QUINCE_EVENTS_PREFIX, name, NULL);
}

/* ---- Quarantine ------------------------------------------------------- */

QuinceToolStatus
quince_store_quarantine_release (QuinceTool *tool, const char *digest)
{
  return write_entry (tool, QUINCE_QUARANTINE_PREFIX, digest, NULL);
}
