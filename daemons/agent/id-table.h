/*
 * id-table.h: which worker runs the request of an id.
 *
 * Nodes and engines know an attempt by its request id: two requests of one id
 * would take each other's verdicts.  An id whose holder's caller is gone
 * passes to the next that asks for it.
 */
#pragma once

#include <quince/codec.h>

typedef struct _QuinceIdTable QuinceIdTable;

/**
 * QuinceIdTableCallbacks:
 * @answer: whether @worker's @call has the id now
 * @check: @worker releases the id when its caller is gone, or says that it is held
 */
typedef struct
{
  void (*answer) (guint worker, guint64 call, const QuinceRequestId id, gboolean taken, gpointer user_data);
  void (*check) (guint worker, const QuinceRequestId id, gpointer user_data);
} QuinceIdTableCallbacks;

QuinceIdTable *quince_id_table_new (const QuinceIdTableCallbacks *callbacks, gpointer user_data);
void quince_id_table_free (QuinceIdTable *table);
/* Ids that are held. */
guint quince_id_table_get_size (const QuinceIdTable *table);
/* @call: 0: no answer is wanted */
void quince_id_table_take (QuinceIdTable *table, const QuinceRequestId id, guint worker, guint64 call);
void quince_id_table_release (QuinceIdTable *table, const QuinceRequestId id, guint worker);
/* The holder's answer to check(). */
void quince_id_table_held (QuinceIdTable *table, const QuinceRequestId id, guint worker);
