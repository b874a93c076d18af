/*
 * faults.h: tables of named fault settings, set and read as JSON.
 *
 * A stand-in keeps its faults in one struct whose zero value means "no
 * fault"; a table of QuinceFaultSpec names the members.
 */
#pragma once

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

#define QUINCE_FAULT_ERROR (quince_fault_error_quark ())
GQuark quince_fault_error_quark (void);

typedef enum
{
  QUINCE_FAULT_ERROR_UNKNOWN_NAME, /* no such setting; the message lists them   */
  QUINCE_FAULT_ERROR_BAD_VALUE,    /* another type, or not one of the choices   */
} QuinceFaultError;

typedef enum
{
  QUINCE_FAULT_FLAG,   /* gboolean            */
  QUINCE_FAULT_NUMBER, /* guint64             */
  QUINCE_FAULT_FACTOR, /* double, 0 or more   */
  QUINCE_FAULT_CHOICE, /* const char *, a constant of @choices, NULL for none */
} QuinceFaultType;

typedef struct
{
  const char *name;
  QuinceFaultType type;
  gsize offset;               /* of the member in the stand-in's faults struct */
  const char *const *choices; /* NULL terminated; QUINCE_FAULT_CHOICE only     */
} QuinceFaultSpec;

/* Sets the members that @settings names; on %FALSE nothing was changed. */
gboolean
quince_faults_apply (const QuinceFaultSpec *specs, gpointer values, JsonObject *settings, GError **error);

/* Sets every member back to its zero value. */
void quince_faults_clear (const QuinceFaultSpec *specs, gpointer values);

/* Returns: (transfer full): the settings as they stand */
JsonNode *quince_faults_describe (const QuinceFaultSpec *specs, gconstpointer values);

G_END_DECLS
