/*
 * fields.h: copies C structs into Lua tables and back, by descriptions of their fields.
 */
#pragma once

#include <lua.h>

#include "policy/policy.h"

typedef enum
{
  QUINCE_FIELD_STRING,
  QUINCE_FIELD_BOOLEAN,
  QUINCE_FIELD_UINT,
  QUINCE_FIELD_INT64,
  QUINCE_FIELD_UINT64,
  QUINCE_FIELD_DOUBLE,
} QuinceFieldType;

typedef struct
{
  const char *name;
  QuinceFieldType type;
  gsize offset;
} QuinceField;

/* Each list ends with a field without a name. */
extern const QuinceField quince_request_fields[];
extern const QuinceField quince_engine_fields[];
extern const QuinceField quince_sample_fields[];

/* Pushes the list of the fields' names, which quince_fields_write() takes. */
void quince_fields_push_names (lua_State *lua, const QuinceField *fields);
/* On the stack: the table, and on top of it the list of names.  Sets every field of the table. */
void quince_fields_write (lua_State *lua, const QuinceField *fields, gconstpointer source);
/* Sets the fields of @value that the table at @index has; fails the call on unknown names and wrong types.
 * Strings point into the table. */
void quince_fields_read (lua_State *lua, int index, const QuinceField *fields, gpointer destination);
