/*
 * faults.c: see faults.h.
 */
#include "faults.h"

#include <string.h>

G_DEFINE_QUARK (quince_fault_error, quince_fault_error)

static const QuinceFaultSpec *
find_spec (const QuinceFaultSpec *specs, const char *name)
{
  for (const QuinceFaultSpec *spec = specs; spec->name != NULL; spec++)
    if (strcmp (spec->name, name) == 0)
      return spec;
  return NULL;
}

static const char *
find_choice (const QuinceFaultSpec *spec, const char *text)
{
  for (gsize i = 0; spec->choices[i] != NULL; i++)
    if (strcmp (spec->choices[i], text) == 0)
      return spec->choices[i];
  return NULL;
}

static gboolean
value_fits (const QuinceFaultSpec *spec, JsonNode *value)
{
  if (!JSON_NODE_HOLDS_VALUE (value))
    return FALSE;
  GType type = json_node_get_value_type (value);
  switch (spec->type)
    {
    case QUINCE_FAULT_FLAG:
      return type == G_TYPE_BOOLEAN;
    case QUINCE_FAULT_NUMBER:
      return type == G_TYPE_INT64 && json_node_get_int (value) >= 0;
    case QUINCE_FAULT_FACTOR:
      return (type == G_TYPE_DOUBLE || type == G_TYPE_INT64) && json_node_get_double (value) >= 0;
    case QUINCE_FAULT_CHOICE:
      {
        const char *text = type == G_TYPE_STRING ? json_node_get_string (value) : NULL;
        return text != NULL && (*text == '\0' || find_choice (spec, text) != NULL);
      }
    }
  return FALSE;
}

static void
set_value (const QuinceFaultSpec *spec, gpointer values, JsonNode *value)
{
  gpointer member = (char *)values + spec->offset;
  switch (spec->type)
    {
    case QUINCE_FAULT_FLAG:
      *(gboolean *)member = json_node_get_boolean (value);
      break;
    case QUINCE_FAULT_NUMBER:
      *(guint64 *)member = (guint64)json_node_get_int (value);
      break;
    case QUINCE_FAULT_FACTOR:
      *(double *)member = json_node_get_double (value);
      break;
    case QUINCE_FAULT_CHOICE:
      *(const char **)member = find_choice (spec, json_node_get_string (value));
      break;
    }
}

static void
set_unknown_name_error (const QuinceFaultSpec *specs, const char *name, GError **error)
{
  g_autoptr (GString) names = g_string_new (NULL);
  for (const QuinceFaultSpec *spec = specs; spec->name != NULL; spec++)
    g_string_append_printf (names, "%s%s", names->len > 0 ? ", " : "", spec->name);
  g_set_error (error, QUINCE_FAULT_ERROR, QUINCE_FAULT_ERROR_UNKNOWN_NAME, "no fault \"%s\"; there are: %s",
               name, names->str);
}

gboolean
quince_faults_apply (const QuinceFaultSpec *specs, gpointer values, JsonObject *settings, GError **error)
{
  g_autoptr (GList) names = json_object_get_members (settings);
  for (GList *item = names; item != NULL; item = item->next)
    {
      const QuinceFaultSpec *spec = find_spec (specs, item->data);
      if (spec == NULL)
        {
          set_unknown_name_error (specs, item->data, error);
          return FALSE;
        }
      if (!value_fits (spec, json_object_get_member (settings, spec->name)))
        {
          g_set_error (error, QUINCE_FAULT_ERROR, QUINCE_FAULT_ERROR_BAD_VALUE, "bad value for fault \"%s\"",
                       spec->name);
          return FALSE;
        }
    }
  for (GList *item = names; item != NULL; item = item->next)
    set_value (find_spec (specs, item->data), values, json_object_get_member (settings, item->data));
  return TRUE;
}

static gsize
member_size (QuinceFaultType type)
{
  switch (type)
    {
    case QUINCE_FAULT_FLAG:
      return sizeof (gboolean);
    case QUINCE_FAULT_NUMBER:
      return sizeof (guint64);
    case QUINCE_FAULT_FACTOR:
      return sizeof (double);
    case QUINCE_FAULT_CHOICE:
      return sizeof (const char *);
    }
  return 0;
}

void
quince_faults_clear (const QuinceFaultSpec *specs, gpointer values)
{
  for (const QuinceFaultSpec *spec = specs; spec->name != NULL; spec++)
    memset ((char *)values + spec->offset, 0, member_size (spec->type));
}

JsonNode *
quince_faults_describe (const QuinceFaultSpec *specs, gconstpointer values)
{
  JsonObject *object = json_object_new ();
  for (const QuinceFaultSpec *spec = specs; spec->name != NULL; spec++)
    {
      gconstpointer member = (const char *)values + spec->offset;
      switch (spec->type)
        {
        case QUINCE_FAULT_FLAG:
          json_object_set_boolean_member (object, spec->name, *(const gboolean *)member);
          break;
        case QUINCE_FAULT_NUMBER:
          json_object_set_int_member (object, spec->name, (gint64) * (const guint64 *)member);
          break;
        case QUINCE_FAULT_FACTOR:
          json_object_set_double_member (object, spec->name, *(const double *)member);
          break;
        case QUINCE_FAULT_CHOICE:
          {
            const char *text = *(const char *const *)member;
            json_object_set_string_member (object, spec->name, text != NULL ? text : "");
            break;
          }
        }
    }
  JsonNode *node = json_node_init_object (json_node_alloc (), object);
  json_object_unref (object);
  return node;
}
