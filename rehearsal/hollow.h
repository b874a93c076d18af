/*
 * hollow.h: a process of hollow nodes, driven by lines on standard input.
 *
 *   command                        answer or event
 *   start INDEX INCARNATION SEEDS  started INDEX GOSSIP-ADDRESS
 *   kill INDEX                     killed INDEX US
 *   leave INDEX                    left INDEX US; the node is killed a little later
 *   offer INDEX REVISION           inforce INDEX REVISION US, from every node that takes it
 *   watch NAME                     gone INDEX NAME US, from every node
 *   report ALIVE                   report NODES AGREE CPU-US RSS-KIB DATAGRAMS SENT RECEIVED LINK MALFORMED
 * GREATEST
 *
 * SEEDS are gossip addresses separated by commas, "-" for none.  US are
 * microseconds of CLOCK_MONOTONIC.  AGREE counts the nodes that see exactly
 * ALIVE members alive; GREATEST is the most that one node sent since the last report.  At the end of its
 * input the process ends.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct
{
  guint zones;   /* node INDEX is in zone INDEX modulo zones    */
  guint regions; /* zone Z is in region Z modulo regions        */
  guint engines; /* hollow engines a node                       */
  guint64 seed;
} QuinceHollowOptions;

/* Runs until standard input ends. Returns the exit status. */
int quince_hollow_run (const QuinceHollowOptions *options);

G_END_DECLS
