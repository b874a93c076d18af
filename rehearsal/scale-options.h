/*
 * scale-options.h: flags of the scale run.
 */
#pragma once

#include "scale-cluster.h"

G_BEGIN_DECLS

typedef struct
{
  QuinceScaleSize size;
  guint seconds;   /* of the steady phase and of the churn phase             */
  guint failures;  /* factor by which the daily rates are compressed; 0 none */
  guint real;      /* real nodes beside the hollow ones                      */
  gboolean hollow; /* this process is one of hollow nodes                    */
} QuinceScaleOptions;

/* Bad flags end the process, as argp does. */
void quince_scale_options_parse (QuinceScaleOptions *options, int argc, char **argv);

G_END_DECLS
