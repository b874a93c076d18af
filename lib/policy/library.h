/*
 * library.h: Lua library functions available to policy programs.
 */
#pragma once

#include <lua.h>

/* A QuinceSandboxPushLibraryFunc: pushes a table with the library functions. */
void quince_policy_library_push (lua_State *lua);
