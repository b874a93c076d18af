/*
 * fields.h: copies C structs to Lua tables and back, driven by lists of field descriptions.
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

/* Fields of the program's arguments.  Each list ends with an entry whose name is NULL. */
extern const QuinceField quince_request_fields[];
extern const QuinceField quince_engine_fields[];
extern const QuinceField quince_sample_fields[];

/* Pushes the list of field names that quince_fields_write() expects. */
void quince_fields_push_names (lua_State *lua, const QuinceField *fields);
/* Copies every field of @source into the table below the top of the stack.  The top of the stack must be the
 * list of quince_fields_push_names(). */
void quince_fields_write (lua_State *lua, const QuinceField *fields, gconstpointer source);
/* Copies the fields present in the table at @index to @destination.  Fails with QUINCE_POLICY_ERROR_CASE on
 * an unknown name, a wrong type or a number out of range.  Strings remain owned by the Lua state. */
void quince_fields_read (lua_State *lua, int index, const QuinceField *fields, gpointer destination);
