/*
 * commands.h: the commands of "quinceroute".  Each prints its result or an error and returns the exit status.
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

QuinceToolStatus quince_command_policy_check (QuinceTool *tool);
QuinceToolStatus quince_command_policy_diff (QuinceTool *tool);
QuinceToolStatus quince_command_policy_accept (QuinceTool *tool);
QuinceToolStatus quince_command_policy_show (QuinceTool *tool);
QuinceToolStatus quince_command_event_create (QuinceTool *tool);
QuinceToolStatus quince_command_event_list (QuinceTool *tool);
QuinceToolStatus quince_command_event_delete (QuinceTool *tool);
QuinceToolStatus quince_command_quarantine_list (QuinceTool *tool);
QuinceToolStatus quince_command_quarantine_release (QuinceTool *tool);
QuinceToolStatus quince_command_zones (QuinceTool *tool);
QuinceToolStatus quince_command_cold (QuinceTool *tool);
QuinceToolStatus quince_command_explain (QuinceTool *tool);
QuinceToolStatus quince_command_log_check (QuinceTool *tool);

G_END_DECLS
