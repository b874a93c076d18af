/*
 * results.h: decodes and checks the values that a program returns.
 *
 * Each function reads the value on top of the stack and fails the call with QUINCE_POLICY_ERROR_RESULT when
 * it has the wrong type or is out of range.
 */
#pragma once

#include <lua.h>

#include "policy/policy.h"

/* Priorities from minus this to this: room for any order of classes.  Not measured. */
#define QUINCE_POLICY_PRIORITY_MAX 1000
/* Smallest weight of a tenant's share: a hundredth of the default, so that none is shut out.  Not measured.
 */
#define QUINCE_POLICY_SHARE_MIN 0.01
/* Greatest weight of a tenant's share: a hundred times the default.  Not measured. */
#define QUINCE_POLICY_SHARE_MAX 100.0
/* Longest wait that a program may ask of a refused caller, ms: one hour.  Not measured. */
#define QUINCE_POLICY_RETRY_AFTER_MAX_MS 3600000

/* @out: (inout): the built-in admission; the fields that the program returned replace those in it */
void quince_result_read_admission (lua_State *lua, QuincePolicyAdmission *out);
/* -HUGE_VAL for nil: never on this worker. */
double quince_result_read_score (lua_State *lua);
QuinceWeightUpdateAction quince_result_read_weight_update_action (lua_State *lua);
