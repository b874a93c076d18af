/*
 * store-commands.h: policies and events on the users' platform, in its metadata store (--store).
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

/* @program has been checked. */
QuinceToolStatus quince_store_policy_accept (QuinceTool *tool, const char *program);
QuinceToolStatus quince_store_policy_show (QuinceTool *tool);
QuinceToolStatus quince_store_event_create (QuinceTool *tool,
                                            const char *name,
                                            gint64 start_ms,
                                            gint64 duration_ms,
                                            const char *service);
QuinceToolStatus quince_store_event_delete (QuinceTool *tool, const char *name);
/* @digest: of the held request, as hexadecimal digits */
QuinceToolStatus quince_store_quarantine_release (QuinceTool *tool, const char *digest);

G_END_DECLS
