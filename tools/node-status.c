/*
 * node-status.c: asks nodes for their status; see node-status.h.
 */
#include "node-status.h"

#include <string.h>

#include "runtime/http.h"

#define STATUS_TIMEOUT_MS 3000

typedef struct
{
  guint *waiting;           /* not owned; answers yet to come */
  QuinceNodeAnswer *answer; /* not owned */
} StatusRequest;

static void
answer_free (QuinceNodeAnswer *answer)
{
  g_clear_pointer (&answer->answer, json_node_unref);
  g_free (answer->error);
  g_free (answer);
}

static void
on_status (guint status, JsonNode *root, const GError *error, gpointer user_data)
{
  StatusRequest *request = user_data;
  if (error != NULL)
    request->answer->error = g_strdup (error->message);
  else
    request->answer->answer = json_node_copy (root);
  *request->waiting -= 1;
  g_free (request);
}

static void
ask (QuinceTool *tool, guint *waiting, QuinceNodeAnswer *answer)
{
  StatusRequest *request = g_new0 (StatusRequest, 1);
  request->waiting = waiting;
  request->answer = answer;
  g_autofree char *url = g_strdup_printf ("http://%s/v1/status", answer->address);
  quince_http_call (tool->session, url, NULL, STATUS_TIMEOUT_MS, NULL, on_status, request);
}

GPtrArray *
quince_node_answers_fetch (QuinceTool *tool)
{
  GPtrArray *answers = g_ptr_array_new_with_free_func ((GDestroyNotify)answer_free);
  guint waiting = g_strv_length (tool->node_addresses);
  for (guint i = 0; tool->node_addresses[i] != NULL; i++)
    {
      QuinceNodeAnswer *answer = g_new0 (QuinceNodeAnswer, 1);
      answer->address = tool->node_addresses[i];
      g_ptr_array_add (answers, answer);
      ask (tool, &waiting, answer);
    }
  while (waiting > 0)
    g_main_context_iteration (NULL, TRUE);
  return answers;
}

/* ---- Members of the answer --------------------------------------------------- */

static JsonNode *
find_value (JsonObject *object, const char *name, GType type)
{
  JsonNode *node = object != NULL ? json_object_get_member (object, name) : NULL;
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != type)
    return NULL;
  return node;
}

const char *
quince_status_get_text (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name, G_TYPE_STRING);
  return node != NULL ? json_node_get_string (node) : "";
}

guint64
quince_status_get_number (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name, G_TYPE_INT64);
  gint64 number = node != NULL ? json_node_get_int (node) : 0;
  return number > 0 ? (guint64)number : 0;
}

gboolean
quince_status_get_flag (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name, G_TYPE_BOOLEAN);
  return node != NULL && json_node_get_boolean (node);
}

JsonObject *
quince_status_element (JsonArray *list, guint i)
{
  JsonNode *node = json_array_get_element (list, i);
  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

/* The object that holds the last part of @path; @name (out) is that part. */
static JsonObject *
find_holder (const QuinceNodeAnswer *answer, const char *path, const char **name)
{
  *name = path;
  if (answer->answer == NULL)
    return NULL;
  JsonObject *object = json_node_get_object (answer->answer);
  const char *dot = strchr (path, '.');
  if (dot == NULL)
    return object;
  g_autofree char *outer = g_strndup (path, dot - path);
  JsonNode *node = json_object_get_member (object, outer);
  *name = dot + 1;
  return node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

const char *
quince_node_answer_get_text (const QuinceNodeAnswer *answer, const char *path)
{
  const char *name;
  JsonObject *holder = find_holder (answer, path, &name);
  return quince_status_get_text (holder, name);
}

guint64
quince_node_answer_get_number (const QuinceNodeAnswer *answer, const char *path)
{
  const char *name;
  JsonObject *holder = find_holder (answer, path, &name);
  return quince_status_get_number (holder, name);
}

gboolean
quince_node_answer_get_flag (const QuinceNodeAnswer *answer, const char *path)
{
  const char *name;
  JsonObject *holder = find_holder (answer, path, &name);
  return quince_status_get_flag (holder, name);
}

JsonArray *
quince_node_answer_get_list (const QuinceNodeAnswer *answer, const char *name)
{
  if (answer->answer == NULL)
    return NULL;
  JsonNode *node = json_object_get_member (json_node_get_object (answer->answer), name);
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

guint
quince_node_answers_report (const GPtrArray *answers)
{
  guint answered = 0;
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      if (answer->answer != NULL)
        answered++;
      else
        quince_tool_fail ("unreachable", "node %s: %s", answer->address, answer->error);
    }
  return answered;
}
