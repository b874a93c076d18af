/*
 * trainer-reply.h: the ledger's answers in the form that trainers get.
 */
#pragma once

#include <libsoup/soup.h>
#include <quince/codec.h>

/* @reply: (nullable): %NULL: the ledger did not answer in time */
void quince_trainer_reply (SoupServerMessage *message,
                           const QuinceCommand *command,
                           const QuinceLedgerReply *reply);
