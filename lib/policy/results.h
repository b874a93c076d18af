/*
 * results.h: checks what a program returns.
 *
 * Each function reads the value on top of the stack and fails the call with
 * QUINCE_POLICY_ERROR_RESULT when it is of the wrong type or range.
 */
#pragma once

#include <lua.h>

#include "policy/policy.h"

#define QUINCE_POLICY_PRIORITY_MAX 1000
#define QUINCE_POLICY_SHARE_MIN 0.01
#define QUINCE_POLICY_SHARE_MAX 100.0
#define QUINCE_POLICY_RETRY_MAX_MS 3600000

/* @out holds the built-in admission, of which named fields are replaced. */
void quince_result_admission (lua_State *lua, QuincePolicyAdmission *out);
/* -HUGE_VAL for nil: not on this engine. */
double quince_result_score (lua_State *lua);
QuinceSwapChoice quince_result_swap_choice (lua_State *lua);
