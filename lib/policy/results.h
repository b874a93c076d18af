/*
 * results.h: reads and validates the values that a program returns.
 *
 * Each function reads the value on top of the stack and leaves it there.  If the value has the wrong type or
 * is out of range, the call fails with QUINCE_POLICY_ERROR_RESULT.
 */
#pragma once

#include <lua.h>

#include "policy/policy.h"

/* A priority is between -QUINCE_POLICY_PRIORITY_MAX and QUINCE_POLICY_PRIORITY_MAX. */
#define QUINCE_POLICY_PRIORITY_MAX 1000
/* Minimum weight of a tenant in fair sharing.  Greater than 0, so that no tenant starves. */
#define QUINCE_POLICY_SHARE_MIN 0.01
/* Maximum weight of a tenant in fair sharing. */
#define QUINCE_POLICY_SHARE_MAX 100.0
/* Maximum retry delay that a program may return for a refused request: one hour. */
#define QUINCE_POLICY_RETRY_AFTER_MAX_MS 3600000

/* Replaces the fields of @out that the returned table contains; nil leaves @out unchanged. */
void quince_result_read_admission (lua_State *lua, QuincePolicyAdmission *out);
/* Returns the score, or -HUGE_VAL for nil: the worker is not eligible. */
double quince_result_read_score (lua_State *lua);
QuinceWeightUpdateAction quince_result_read_weight_update_action (lua_State *lua);
