/*
 * trainer-reply.h: the ledger's answers in the form that trainers get.
 */
#pragma once

#include <libsoup/soup.h>
#include <quince/codec.h>

/* Text of a batch's page; the first one begins the JSON object and the last one ends it. (transfer full) */
char *quince_trainer_reply_format_page (const QuinceBatch *page);

/* Of a batch, @reply must hold all pages. @reply: (nullable): %NULL: the ledger did not answer in time */
void quince_trainer_reply (SoupServerMessage *message,
                           const QuinceCommand *command,
                           const QuinceLedgerReply *reply);
