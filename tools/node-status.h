/*
 * node-status.h: what each node says of itself at GET /v1/status.
 */
#pragma once

#include "tool.h"

G_BEGIN_DECLS

typedef struct
{
  const char *address; /* not owned */
  JsonNode *answer;    /* owned; NULL when the node did not answer */
  char *error;         /* owned; why not; NULL when it did */
} QuinceNodeAnswer;

/* Asks every node of --node at once; (transfer full): QuinceNodeAnswer in that order. */
GPtrArray *quince_node_answers_fetch (QuinceTool *tool);

/* Members of nested objects, a path as "ledger.role"; "" or 0 when absent. Lent by the answer. */
const char *quince_node_answer_get_text (const QuinceNodeAnswer *answer, const char *path);
guint64 quince_node_answer_get_number (const QuinceNodeAnswer *answer, const char *path);
gboolean quince_node_answer_get_flag (const QuinceNodeAnswer *answer, const char *path);
/* (nullable) */
JsonArray *quince_node_answer_get_list (const QuinceNodeAnswer *answer, const char *name);

/* Members of a list element; "" or 0 when absent or of another type. */
JsonObject *quince_status_element (JsonArray *list, guint i);
const char *quince_status_get_text (JsonObject *object, const char *name);
guint64 quince_status_get_number (JsonObject *object, const char *name);
gboolean quince_status_get_flag (JsonObject *object, const char *name);

/* Tells on standard error which nodes did not answer; returns how many did. */
guint quince_node_answers_report (const GPtrArray *answers);

G_END_DECLS
