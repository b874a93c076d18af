/*
 * decider.h: the decisions that the pure core asks for.
 *
 * The core does not know Lua: it calls these.  A failing function makes the
 * core take its built-in decision and count the failure.
 */
#pragma once

#include <quince/policy.h>

G_BEGIN_DECLS

/**
 * QuinceDecider:
 * @admit: may be %NULL for the built-in decision
 * @score: may be %NULL for the built-in decision
 * @revision: revision in force, 0 when none
 *
 * The owner of @user_data keeps it alive while the decider is in use.
 */
typedef struct
{
  gboolean (*admit) (gpointer user_data, const QuincePolicyRequest *request, QuincePolicyAdmission *out);
  gboolean (*score) (gpointer user_data,
                     const QuincePolicyRequest *request,
                     const QuincePolicyEngine *engines,
                     guint n_engines,
                     double *scores);
  gpointer user_data;
  guint64 revision;
} QuinceDecider;

G_END_DECLS
