/*
 * library.h: the library functions that a policy program may call.
 */
#pragma once

#include <lua.h>

/* Leaves the base environment on the stack: a QuinceSandboxPushLibraryFunc. */
void quince_policy_library_push (lua_State *lua);
