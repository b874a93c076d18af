/*
 * kept-values.h: one value of each kind of message and stored record, for test-kept-bytes.c.
 *
 * Neighbouring fields have different values, so that a field that moves or changes its width changes the
 * encoded bytes.
 */
#pragma once

#include "protocol/codec.h"

#define TEXT(text) ((char *)(text))
/* Initializers of an XDR opaque<> and an XDR array: length, then elements. */
#define BYTES(text)                                                                                          \
  {                                                                                                          \
    sizeof (text) - 1, (char *)(text)                                                                        \
  }
#define LIST(Type, ...)                                                                                      \
  {                                                                                                          \
    G_N_ELEMENTS (((Type[]){ __VA_ARGS__ })), (Type[])                                                       \
    {                                                                                                        \
      __VA_ARGS__                                                                                            \
    }                                                                                                        \
  }

#define DIGEST                                                                                               \
  {                                                                                                          \
    1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16                                                    \
  }
#define MEMBER                                                                                               \
  {                                                                                                          \
    .node = TEXT ("replica-0"), .address = TEXT ("10.0.0.1:7000"), .replica = 0x1122334455667788             \
  }
#define OTHER_MEMBER                                                                                         \
  {                                                                                                          \
    .node = TEXT ("replica-1"), .address = TEXT ("10.0.0.2:7000"), .replica = 9                              \
  }
#define VIEW                                                                                                 \
  {                                                                                                          \
    .epoch = 21, .primary = 9, .members = LIST (QuinceLedgerMember, MEMBER, OTHER_MEMBER)                    \
  }
#define JOB                                                                                                  \
  {                                                                                                          \
    .id = TEXT ("batch-1"), .host = TEXT ("h.example"), .path = TEXT ("/batches"), .model = TEXT ("llm"),    \
    .submitted_ms = 1700000000123, .step = 4, .minimum_version = 5, .wanted_groups = 6,                      \
    .items = LIST (QuinceBatchItem,                                                                          \
                   { .id = TEXT ("item-1"),                                                                  \
                     .path = TEXT ("/generate"),                                                             \
                     .headers = LIST (QuinceTextPair, { TEXT ("Content-Type"), TEXT ("text/plain") }),       \
                     .body = BYTES ("prompt"),                                                               \
                     .tokens = 7,                                                                            \
                     .group = TEXT ("group-1"),                                                              \
                     .reward = LIST (QuinceRewardCall, { TEXT ("call-1"), TEXT ("r.example"),                \
                                                         TEXT ("/reward"), BYTES ("in") }) }),               \
  }
#define RESULT                                                                                               \
  {                                                                                                          \
    .batch = TEXT ("batch-1"), .item = 8, .abandoned = TRUE, .text = BYTES ("generated"),                    \
    .versions = LIST (u_quad_t, 10, 11), .score = TEXT ("0.5")                                               \
  }
#define SUSPECTS                                                                                             \
  {                                                                                                          \
    LIST (QuinceSuspectReport, { .digest = DIGEST,                                                           \
                                 .release = 12,                                                              \
                                 .workers = LIST (u_quad_t, 13, 14),                                         \
                                 .alone = 15,                                                                \
                                 .held = TRUE,                                                               \
                                 .cleared = FALSE,                                                           \
                                 .age_ms = 16,                                                               \
                                 .service = TEXT ("llm"),                                                    \
                                 .software = TEXT ("engine-1.2"),                                            \
                                 .reported_by = TEXT ("front-0"),                                            \
                                 .prompt = TRUE,                                                             \
                                 .member = 17 })                                                             \
  }

static QuinceMessage expected_messages[] = {
  { QUINCE_MESSAGE_LEDGER_HELLO,
    { .ledger_hello
      = { MEMBER, .last_index = 1, .last_epoch = 2, .commit_index = 3, .commit_epoch = 4, TEXT ("z1") } } },
  { QUINCE_MESSAGE_LEDGER_APPEND,
    { .ledger_append
      = { .epoch = 1,
          .replica = 2,
          .reset = TRUE,
          .end_index = 3,
          .held_index = 4,
          .commit_index = 5,
          .sent_us = 6,
          .entries = LIST (QuinceLogEntry, { 7, 8, BYTES ("record") }, { 9, 10, BYTES ("x") }) } } },
  { QUINCE_MESSAGE_LEDGER_ACK,
    { .ledger_ack = { .epoch = 1, .replica = 2, .last_index = 3, .echo_us = 4, .promised = 5 } } },
  { QUINCE_MESSAGE_SERVICE_CALL,
    { .service_call = { .id = 1,
                        TEXT ("POST"),
                        TEXT ("/batches"),
                        LIST (QuinceTextPair, { TEXT ("Host"), TEXT ("h.example") }),
                        BYTES ("body") } } },
  { QUINCE_MESSAGE_SERVICE_REPLY,
    { .service_reply
      = { .id = 1, .status = 503, .retry_after_ms = 2, TEXT ("application/json"), BYTES ("{}") } } },
  { QUINCE_MESSAGE_LEDGER_ASK,
    { .ledger_ask = { .epoch = 1, .replica = 2, .last_index = 3, .last_epoch = 4 } } },
  { QUINCE_MESSAGE_LEDGER_PROMISE,
    { .ledger_promise = { .epoch = 1, .replica = 2, .last_index = 3, .last_epoch = 4 } } },
  { QUINCE_MESSAGE_FEED_SUBSCRIBE, { .feed_subscribe = { LIST (u_quad_t, 1, 2, 3) } } },
  { QUINCE_MESSAGE_FEED_UPDATE,
    { .feed_update = { .prefix = TEXT ("workers/"),
                       .after = 1,
                       .revision = 2,
                       .whole = TRUE,
                       .may_have_lapsed = FALSE,
                       .items = LIST (QuinceFeedItem,
                                      { TEXT ("workers/a"), 3, FALSE, BYTES ("value") },
                                      { TEXT ("workers/b"), 4, TRUE, { 0, NULL } }) } } },
  { QUINCE_MESSAGE_PROGRESS,
    { .progress = { LIST (QuinceProgressItem,
                          { .batch = TEXT ("batch-1"),
                            .item = 1,
                            .from_event = 2,
                            .last_event = 3,
                            .text = BYTES ("so far"),
                            .versions = LIST (u_quad_t, 4, 5),
                            .failures = 6 }) } } },
  { QUINCE_MESSAGE_HEARTBEAT,
    { .heartbeat = { .certain = TRUE, .silent = LIST (QuinceText, TEXT ("front-1"), TEXT ("front-2")) } } },
  { QUINCE_MESSAGE_HEARTBEAT_ACK, { .heartbeat_ack = { TEXT ("front-0") } } },
  { QUINCE_MESSAGE_PACKED, { .packed = { BYTES ("packed") } } },
  { QUINCE_MESSAGE_USAGE_REPORT,
    { .usage_report = { .source = 1, .wall_ms = 2, LIST (QuinceUsageStart, { 3, TEXT ("tenant-a"), 4 }) } } },
  { QUINCE_MESSAGE_USAGE_ACK, { .usage_ack = { .source = 1, .sequence = 2 } } },
  { QUINCE_MESSAGE_SUSPECT_NEWS, { .suspect_news = SUSPECTS } },
  { QUINCE_MESSAGE_PERMIT_ASK, { .permit_ask = { DIGEST, TEXT ("llm"), .alone = TRUE } } },
  { QUINCE_MESSAGE_PERMIT_ANSWER, { .permit_answer = { DIGEST, .given = TRUE } } },
  { QUINCE_MESSAGE_PERMIT_BACK, { .permit_back = { DIGEST, .given = FALSE } } },
  { QUINCE_MESSAGE_WARMUP_ASK, { .warmup_ask = { .ask = 1, TEXT ("worker-1"), .sends = 2 } } },
  { QUINCE_MESSAGE_WARMUP_GRANT,
    { .warmup_grant = { .ask = 1, TEXT ("worker-1"), .sends = 2, .valid_ms = 3, .again_ms = 4 } } },
  { QUINCE_MESSAGE_SUSPECT_SENDING, { .suspect_sending = SUSPECTS } },
  { QUINCE_MESSAGE_LEDGER_QUERY,
    { .ledger_query = { .revision = 1, .epoch = 2, .replica = 3, .changing = TRUE } } },
  { QUINCE_MESSAGE_LEDGER_LEAD,
    { .ledger_lead = { .revision = 1,
                       .view = VIEW,
                       .replica = 2,
                       .promised = 3,
                       .promised_to = 4,
                       .noted = 5,
                       .answered = 6,
                       .shown_epoch = 7,
                       .shown_primary = 8,
                       .shown_answers = TRUE } } },
};

/* Indexed by the record kind. */
static QuinceBatchRecord expected_records[] = {
  { QUINCE_BATCH_RECORD_SUBMIT, { .submit = JOB } },
  { QUINCE_BATCH_RECORD_RESULT, { .result = RESULT } },
  { QUINCE_BATCH_RECORD_END, { .ended = TEXT ("batch-1") } },
  { QUINCE_BATCH_RECORD_FORGET, { .forget = { TEXT ("batch-1"), LIST (u_quad_t, 1, 2, 3) } } },
  { QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT, { .submit_of_tenant = { TEXT ("tenant-a"), JOB } } },
  { QUINCE_BATCH_RECORD_USAGE,
    { .usage = { LIST (QuinceUsageEvents,
                       { 1, LIST (QuinceUsageEvent, { 2, TEXT ("tenant-a"), 1700000000456 }) }) } } },
  { QUINCE_BATCH_RECORD_USAGE_CLOSED,
    { .usage_closed = { 1, LIST (QuinceUsageCount, { TEXT ("tenant-a"), 2 }, { TEXT ("tenant-b"), 3 }) } } },
  { QUINCE_BATCH_RECORD_USAGE_SENT, { .usage_sent = 4 } },
  { QUINCE_BATCH_RECORD_LISTED, { .listed = { TEXT ("batch-1"), 5, BYTES ("body") } } },
};

static QuinceLedgerView expected_view = VIEW;
static QuinceBatchResult expected_result = RESULT;
