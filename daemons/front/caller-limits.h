/*
 * caller-limits.h: the limits of callers' requests that are in force.
 */
#pragma once

#include "front-context.h"

/* Returns the limits of the configuration, or generous ones until it is known. */
QuinceCallerLimits quince_caller_limits_get (const QuinceFrontContext *context);
