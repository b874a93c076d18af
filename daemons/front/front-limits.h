/*
 * front-limits.h: what callers may take of a front's machine: memory, connections and descriptors.
 */
#pragma once

#include "runtime/settings.h"

#include "front-context.h"

/* Reads the settings of [limits] and sets the account and the limits of @context. */
void quince_front_limits_apply (const QuinceSettings *settings, QuinceFrontContext *context);
/* Sets the metrics of the memory that callers' requests hold. */
void quince_front_limits_set_metrics (const QuinceFrontContext *context);
