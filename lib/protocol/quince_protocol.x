/*
 * quince_protocol.x: messages between fronts and replicas, and what replicas store (RFC 4506).
 *
 * Units are in the field names: _ms milliseconds, _us microseconds, counts otherwise.  Durations are relative,
 * never instants of a wall clock, so that clock skew between machines cannot change their meaning; where a
 * field holds a wall clock its comment says so.  Numbers named revision, epoch, sequence and index only grow;
 * a receiver refuses a smaller one.
 *
 * On a link each message is one frame: a 4-byte big-endian length and the encoding of QuinceMessage.  The
 * ledger's log holds QuinceBatchRecord, the metadata store QuinceLedgerView.  Fronts and replicas of different
 * versions run side by side while a deployment is replaced, and logs outlive versions: no definition may
 * change the bytes of what exists (tests/unit/test-kept-bytes.c).  New kinds and records get new numbers.
 */

/* Bounds that a decoder checks before it allocates.  Not measured: each is far above what a deployment holds, and
 * the bound of a frame is the one that bounds the memory of a message. */
const QUINCE_TEXT_MAX_BYTES  = 4194304;  /* bytes of a name, a path or a value of the store: 4 MiB */
const QUINCE_ITEMS_MAX       = 16384;    /* items of a batch; a larger submission is refused */
const QUINCE_INDEXES_MAX     = 65536;    /* elements of other lists: records of a batch, tenants, keys of a page */
const QUINCE_FRAME_MAX_BYTES = 67108864; /* bytes of a frame and of an opaque part: 64 MiB */

/* ---- Batches: what the batch ledger keeps ---------------------------- */

typedef string QuinceText<QUINCE_TEXT_MAX_BYTES>;

struct QuinceTextPair {
    QuinceText name;
    QuinceText value;
};

/* The request that scores a finished sample. */
struct QuinceRewardCall {
    QuinceText id;
    QuinceText host;
    QuinceText path;
    opaque     body<QUINCE_FRAME_MAX_BYTES>;
};

struct QuinceBatchItem {
    QuinceText       id;
    QuinceText       path;
    QuinceTextPair   headers<64>;
    opaque           body<QUINCE_FRAME_MAX_BYTES>;
    unsigned int     tokens;          /* of the prompt, and the limit of the answer */
    QuinceText       group;           /* "": a group of its own            */
    QuinceRewardCall reward<1>;
};

struct QuinceBatchJob {
    QuinceText      id;
    QuinceText      host;
    QuinceText      path;             /* of the submission: selects the route */
    QuinceText      model;
    unsigned hyper  submitted_ms;     /* wall clock of the replica that took it */
    unsigned hyper  step;
    unsigned hyper  minimum_version;
    unsigned int    wanted_groups;
    QuinceBatchItem items<QUINCE_ITEMS_MAX>;
};

struct QuinceBatchResult {
    QuinceText     batch;
    unsigned int   item;              /* index in QuinceBatchJob.items     */
    bool           abandoned;
    opaque         text<QUINCE_FRAME_MAX_BYTES>;
    unsigned hyper versions<256>;
    QuinceText     score;
};

/* A result as the log holds it: what a reader of the log needs is outside, the rest is decoded when a caller
 * asks for it. */
struct QuinceListedResult {
    QuinceText     batch;
    unsigned int   item;
    opaque         body<QUINCE_FRAME_MAX_BYTES>; /* QuinceBatchResult, encoded, perhaps packed */
};

/* A batch that a tenant submitted.  Logs of versions without tenants hold QuinceBatchJob alone. */
struct QuinceTenantBatch {
    QuinceText     tenant;            /* by the API key, when it was submitted */
    QuinceBatchJob batch;
};

/* The records of the batch at these indexes, its submission first, may be dropped. */
struct QuinceBatchForget {
    QuinceText     batch;
    unsigned hyper indexes<QUINCE_INDEXES_MAX>;
};

/* ---- Usage: requests of each tenant that began, by usage window -------- */

/* One request that began at a worker. */
struct QuinceUsageEvent {
    unsigned hyper sequence;          /* of its front; only grows          */
    QuinceText     tenant;
    unsigned hyper begun_ms;          /* agreed clock: wall clock, median of the fronts */
};

struct QuinceUsageEvents {
    unsigned hyper   source;          /* random, one for each start of a front */
    QuinceUsageEvent events<QUINCE_INDEXES_MAX>;
};

struct QuinceUsageRecord { QuinceUsageEvents sources<QUINCE_INDEXES_MAX>; };

struct QuinceUsageCount {
    QuinceText   tenant;
    unsigned int requests;
};

/* What is reported of a window; the first such record of a window counts, so that every leader reports the
 * same. */
struct QuinceUsageWindow {
    unsigned hyper   window;          /* its number since 1970             */
    QuinceUsageCount counts<QUINCE_INDEXES_MAX>; /* sorted by tenant       */
};

/* ---- Orders: workers that a leader orders to load weights --------------- */

/* The leader orders these workers, perhaps none, at most 300 ms after it appended this record. */
struct QuinceOrderRecord { QuinceText workers<QUINCE_INDEXES_MAX>; };

enum QuinceBatchRecordKind {
    QUINCE_BATCH_RECORD_SUBMIT = 0,
    QUINCE_BATCH_RECORD_RESULT = 1,
    QUINCE_BATCH_RECORD_END    = 2,
    QUINCE_BATCH_RECORD_FORGET = 3,
    QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT = 4,
    QUINCE_BATCH_RECORD_USAGE  = 5,
    QUINCE_BATCH_RECORD_USAGE_CLOSED = 6,
    QUINCE_BATCH_RECORD_USAGE_SENT = 7,
    QUINCE_BATCH_RECORD_LISTED = 8,
    QUINCE_BATCH_RECORD_ORDERS = 9
};

union QuinceBatchRecord switch (QuinceBatchRecordKind kind) {
case QUINCE_BATCH_RECORD_SUBMIT: QuinceBatchJob       submit;
case QUINCE_BATCH_RECORD_RESULT: QuinceBatchResult result;
case QUINCE_BATCH_RECORD_END:    QuinceText        ended;
case QUINCE_BATCH_RECORD_FORGET: QuinceBatchForget forget;
case QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT: QuinceTenantBatch submit_of_tenant;
case QUINCE_BATCH_RECORD_USAGE: QuinceUsageRecord usage;
case QUINCE_BATCH_RECORD_USAGE_CLOSED: QuinceUsageWindow usage_closed;
case QUINCE_BATCH_RECORD_USAGE_SENT: unsigned hyper usage_sent; /* a reported window */
case QUINCE_BATCH_RECORD_LISTED: QuinceListedResult listed;
case QUINCE_BATCH_RECORD_ORDERS: QuinceOrderRecord orders;
};

/* ---- Ledger: the leader ("primary" on the wire), its backups, its view -- */

struct QuinceLedgerMember {
    QuinceText     node;
    QuinceText     address;           /* of its link server                */
    unsigned hyper replica;           /* id of its data folder; never 0    */
};

/* The ledger's view: kept in the metadata store, changed there under a condition on its revision only. */
struct QuinceLedgerView {
    unsigned hyper     epoch;         /* grows with each leader            */
    unsigned hyper     primary;       /* replica of one of the members     */
    QuinceLedgerMember members<64>;   /* each holds all acknowledged records */
};

struct QuinceLogEntry {
    unsigned hyper index;
    unsigned hyper epoch;
    opaque         record<QUINCE_FRAME_MAX_BYTES>;
};

/* A backup to the leader, first on a link. */
struct QuinceLedgerHello {
    QuinceLedgerMember member;
    unsigned hyper     last_index;
    unsigned hyper     last_epoch;
    unsigned hyper     commit_index;  /* of the last record known to be in every later log */
    unsigned hyper     commit_epoch;
    QuinceText         zone;          /* of its machine                    */
};

struct QuinceLedgerAppend {
    unsigned hyper epoch;
    unsigned hyper replica;           /* of the receiver                   */
    bool           reset;             /* the receiver drops its log first  */
    unsigned hyper end_index;         /* of the leader's log               */
    unsigned hyper held_index;        /* up to here the receiver holds that log after this message */
    unsigned hyper commit_index;
    unsigned hyper sent_us;           /* the leader's monotonic clock      */
    QuinceLogEntry entries<4096>;
};

struct QuinceLedgerAck {
    unsigned hyper epoch;
    unsigned hyper replica;
    unsigned hyper last_index;        /* on disk                           */
    unsigned hyper echo_us;           /* sent_us of the append that this answers */
    unsigned hyper promised;          /* greater than epoch: refused, this epoch was promised to another replica */
};

/* A campaign: a backup without a leader asks the members for promises. */
struct QuinceLedgerAsk {
    unsigned hyper epoch;
    unsigned hyper replica;           /* of the campaigning backup         */
    unsigned hyper last_index;
    unsigned hyper last_epoch;
};

struct QuinceLedgerPromise {
    unsigned hyper epoch;
    unsigned hyper replica;           /* of the promising member           */
    unsigned hyper last_index;
    unsigned hyper last_epoch;
};

/* A query: a process that knows no leader that answers asks the members of the last view that it knows. */
struct QuinceLedgerQuery {
    unsigned hyper revision;          /* of that view in the metadata store */
    unsigned hyper epoch;             /* of the last leader that it knows  */
    unsigned hyper replica;           /* of the asking replica; 0: a front */
    bool           changing;          /* a leader asks members to note that it changes members on that revision */
};

/* Views with other members that leaders may write to the store in place of the view at that revision.  Until a
 * greater revision is known, any of them may be in force.  Also stored by each replica that acknowledged them. */
struct QuinceLedgerChange {
    unsigned hyper   revision;        /* of the view in the metadata store */
    unsigned hyper   sequence;        /* grows with each list at that revision; the latest one counts */
    QuinceLedgerView proposed<16>;
};

/* The leader asks a member to acknowledge a membership change before it writes it to the store. */
struct QuinceLedgerChangeRequest {
    QuinceLedgerView   view;          /* at the revision of the change, with the epoch and the leader in force */
    QuinceLedgerChange change;        /* the view to be proposed, and all proposed ones that may be in force */
};

/* The answer to a change request.  Also follows QuinceLedgerLead as the answer to a query, if the sender has
 * acknowledged a change of the revision that it knows. */
struct QuinceLedgerChangeAck {
    unsigned hyper     replica;       /* of the sender                     */
    unsigned hyper     promised;      /* as in QuinceLedgerLead            */
    unsigned hyper     promised_to;
    QuinceLedgerChange change;        /* the latest that the sender has acknowledged */
};

/* The answer of any replica that knows a view; a new leader and a candidate send it unasked. */
struct QuinceLedgerLead {
    unsigned hyper   revision;        /* of the view in the store on which this lead is based */
    QuinceLedgerView view;            /* its members, with the epoch and the leader in force */
    unsigned hyper   replica;         /* of the sender */
    unsigned hyper   promised;        /* greatest epoch that the sender promised */
    unsigned hyper   promised_to;     /* replica that it was promised to; 0: not known any more */
    unsigned hyper   noted;           /* greatest revision on which members may change, as the sender noted */
    unsigned hyper   answered;        /* epoch whose leader is known to have answered a query itself; 0: none */
    unsigned hyper   shown_epoch;     /* epoch and leader in the store at that revision; 0: not known */
    unsigned hyper   shown_primary;
    bool             shown_answers;   /* the leader of that epoch is known to have answered a query itself */
};

/* ---- Progress: texts of running samples, from the leader to its backups -- */

struct QuinceProgressItem {
    QuinceText     batch;
    unsigned int   item;
    unsigned hyper from_event;        /* the text follows this event; 0: it is whole */
    unsigned hyper last_event;
    opaque         text<QUINCE_FRAME_MAX_BYTES>;
    unsigned hyper versions<256>;     /* of the whole text so far          */
    unsigned int   failures;          /* answers of 500 so far             */
};

struct QuinceSampleProgress { QuinceProgressItem items<QUINCE_ITEMS_MAX>; };

/* ---- Store feed: what the leader reads from the metadata store, for other processes ---- */

struct QuinceFeedItem {
    QuinceText     key;
    unsigned hyper revision;
    bool           gone;
    opaque         value<QUINCE_TEXT_MAX_BYTES>;
};

/* Sent once on a link: the revision up to which the subscriber has each prefix, 0: nothing, in the order in
 * which observers list them; then that of the policy in force there, 0: the settings'.  The leader sends it
 * to a subscriber that has a later policy, which is sent back. */
struct QuinceFeedSubscribe { unsigned hyper revisions<8>; };

/* How a subscriber is fed, after the revision of its policy in QuinceFeedSubscribe. */
enum QuinceFeedRole {
    QUINCE_FEED_ROLE_DIRECT = 0,      /* by the receiver; also where the element is missing */
    QUINCE_FEED_ROLE_FRONT  = 1,      /* by the receiver or by a relay */
    QUINCE_FEED_ROLE_RELAY  = 2,      /* by the receiver; it feeds others  */
    QUINCE_FEED_ROLE_CHILD  = 3       /* by the receiver, a relay; nothing else goes over the link */
};

/* A replica that feeds fronts. */
struct QuinceFeedRelay {
    QuinceText node;
    QuinceText address;               /* of its link server                */
    QuinceText zone;
};

/* A replica's answer to a subscriber in the role FRONT that it does not feed yet, and later changes: a relay
 * feeds the front. */
struct QuinceFeedRelays { QuinceFeedRelay relays<QUINCE_INDEXES_MAX>; };

/* Also sent without items, to show that the sender reads the store. */
struct QuinceFeedUpdate {
    QuinceText     prefix;
    unsigned hyper after;             /* all changes since that revision are here */
    unsigned hyper revision;          /* of the store when it was read     */
    bool           whole;             /* all keys of the prefix            */
    bool           may_have_lapsed;   /* removed keys may have expired in an outage of the store */
    QuinceFeedItem   items<QUINCE_INDEXES_MAX>;
};

/* From the leader to all subscribers, four a second. */
struct QuinceHeartbeat {
    bool           certain;           /* all other fronts that the leader knows answered */
    QuinceText     silent<QUINCE_INDEXES_MAX>;
};

/* A front's answer to each heartbeat. */
struct QuinceHeartbeatAck { QuinceText node; };

/* An encoded message, compressed (runtime/packed-message.h). */
struct QuincePacked { opaque data<QUINCE_FRAME_MAX_BYTES>; };

/* A caller's call that the leader answers, passed on by a front as it came. */
struct QuinceServiceCall {
    unsigned hyper id;                /* of the call on this link          */
    QuinceText     method;
    QuinceText     target;
    QuinceTextPair headers<128>;
    opaque         body<QUINCE_FRAME_MAX_BYTES>;
};

struct QuinceServiceReply {
    unsigned hyper id;
    unsigned int   status;
    unsigned int   retry_after_ms;    /* 0: none                           */
    QuinceText     content_type;
    opaque         body<QUINCE_FRAME_MAX_BYTES>;
};

/* A request that began at a worker to which a front sent it. */
struct QuinceUsageStart {
    unsigned hyper sequence;
    QuinceText     tenant;
    unsigned hyper age_ms;            /* since it began, when this is sent */
};

/* A front to the leader: requests that began, sent again until they are acknowledged. */
struct QuinceUsageReport {
    unsigned hyper  source;
    unsigned hyper  wall_ms;          /* wall clock of the front           */
    QuinceUsageStart events<QUINCE_INDEXES_MAX>;
};

/* The leader's answer: events up to this sequence number are replicated. */
struct QuinceUsageAck {
    unsigned hyper source;
    unsigned hyper sequence;
};

/* ---- Quarantine: requests under which workers ended (core/request/quarantine.h) ---- */

const QUINCE_DIGEST_BYTES = 16;     /* of a request: 128 bits */
const QUINCE_SUSPECTS_MAX = 4096;   /* requests in one message; a sender leaves the rest out */
typedef opaque QuinceDigest[QUINCE_DIGEST_BYTES];

struct QuinceSuspectReport {
    QuinceDigest   digest;
    unsigned hyper release;           /* how often an operator released it; only grows */
    unsigned hyper workers<8>;        /* hashes of the ids of workers that ended under it */
    unsigned int   alone;             /* of these ends, the number that it met alone */
    bool           held;              /* it is not sent any more           */
    bool           cleared;           /* a worker answered it: the other fields do not count */
    unsigned hyper age_ms;            /* since the last end, when this is sent */
    QuinceText     service;
    QuinceText     software;
    QuinceText     reported_by;       /* process that saw the last end     */
    bool           prompt;            /* scope: a prompt that several requests share */
    unsigned hyper member;            /* of a prompt: hash of the request that last met an end alone; 0: none */
};

/* As SUSPECT_NEWS, between fronts and the leader, both ways: all that the sender knows of these requests.  As
 * SUSPECT_SENDING, from the leader to its successor: what holds if the worker of a permitted send ends. */
struct QuinceSuspectReports { QuinceSuspectReport suspects<QUINCE_SUSPECTS_MAX>; };

/* A front asks the leader for a permit; PERMIT_BACK, a QuincePermitAnswer, returns it. */
struct QuincePermitAsk {
    QuinceDigest digest;
    QuinceText   service;
    bool         alone;               /* beside no other suspect of the service */
};
struct QuincePermitAnswer {
    QuinceDigest digest;
    bool         given;
};

/* ---- Sends to cold workers --------------------------------------------- */

/* A front asks the leader for a send lease on one cold worker.  The leader keeps no queue: a front that still
 * needs sends asks again. */
struct QuinceWarmupAsk {
    unsigned hyper ask;               /* number of this request of the front, only grows */
    QuinceText     worker;
    unsigned int   sends;
};
/* The leader's answer.  The lease counts from the moment at which the front sent its request, so that neither a
 * delay nor the leader's clock makes it longer. */
struct QuinceWarmupGrant {
    unsigned hyper ask;
    QuinceText     worker;
    unsigned int   sends;             /* 0: none now */
    unsigned int   valid_ms;
    unsigned int   again_ms;          /* delay before the next request */
};

/* ---- The message on a link ------------------------------------------- */

/* 0 to 10 were messages of programs that no longer exist.  A decoder refuses them: the union below has no arm
 * for them. */

enum QuinceMessageKind {
    QUINCE_MESSAGE_LEDGER_HELLO  = 11,
    QUINCE_MESSAGE_LEDGER_APPEND = 12,
    QUINCE_MESSAGE_LEDGER_ACK    = 13,
    QUINCE_MESSAGE_SERVICE_CALL  = 14,
    QUINCE_MESSAGE_SERVICE_REPLY = 15,
    QUINCE_MESSAGE_LEDGER_ASK    = 16,
    QUINCE_MESSAGE_LEDGER_PROMISE = 17,
    QUINCE_MESSAGE_FEED_SUBSCRIBE    = 18,
    QUINCE_MESSAGE_FEED_UPDATE   = 19,
    QUINCE_MESSAGE_PROGRESS      = 20,
    QUINCE_MESSAGE_HEARTBEAT     = 21,
    QUINCE_MESSAGE_HEARTBEAT_ACK = 22,
    QUINCE_MESSAGE_PACKED        = 23,
    QUINCE_MESSAGE_USAGE_REPORT  = 24,
    QUINCE_MESSAGE_USAGE_ACK     = 25,
    QUINCE_MESSAGE_SUSPECT_NEWS  = 26,
    QUINCE_MESSAGE_PERMIT_ASK    = 27,
    QUINCE_MESSAGE_PERMIT_ANSWER = 28,
    QUINCE_MESSAGE_PERMIT_BACK   = 29,
    QUINCE_MESSAGE_WARMUP_ASK    = 30,
    QUINCE_MESSAGE_WARMUP_GRANT  = 31,
    QUINCE_MESSAGE_SUSPECT_SENDING = 32,
    QUINCE_MESSAGE_LEDGER_QUERY   = 33,
    QUINCE_MESSAGE_LEDGER_LEAD   = 34,
    QUINCE_MESSAGE_FEED_RELAYS   = 35,
    QUINCE_MESSAGE_LEDGER_CHANGE_REQUEST = 36,
    QUINCE_MESSAGE_LEDGER_CHANGE_ACK = 37
};

union QuinceMessage switch (QuinceMessageKind kind) {
case QUINCE_MESSAGE_LEDGER_HELLO:  QuinceLedgerHello  ledger_hello;
case QUINCE_MESSAGE_LEDGER_APPEND: QuinceLedgerAppend ledger_append;
case QUINCE_MESSAGE_LEDGER_ACK:    QuinceLedgerAck    ledger_ack;
case QUINCE_MESSAGE_SERVICE_CALL:  QuinceServiceCall  service_call;
case QUINCE_MESSAGE_SERVICE_REPLY: QuinceServiceReply service_reply;
case QUINCE_MESSAGE_LEDGER_ASK:    QuinceLedgerAsk    ledger_ask;
case QUINCE_MESSAGE_LEDGER_PROMISE: QuinceLedgerPromise ledger_promise;
case QUINCE_MESSAGE_FEED_SUBSCRIBE:    QuinceFeedSubscribe    feed_subscribe;
case QUINCE_MESSAGE_FEED_UPDATE:   QuinceFeedUpdate   feed_update;
case QUINCE_MESSAGE_PROGRESS:      QuinceSampleProgress     progress;
case QUINCE_MESSAGE_HEARTBEAT:     QuinceHeartbeat    heartbeat;
case QUINCE_MESSAGE_HEARTBEAT_ACK: QuinceHeartbeatAck heartbeat_ack;
case QUINCE_MESSAGE_PACKED:        QuincePacked       packed;
case QUINCE_MESSAGE_USAGE_REPORT:  QuinceUsageReport  usage_report;
case QUINCE_MESSAGE_USAGE_ACK:     QuinceUsageAck     usage_ack;
case QUINCE_MESSAGE_SUSPECT_NEWS:  QuinceSuspectReports  suspect_news;
case QUINCE_MESSAGE_PERMIT_ASK:    QuincePermitAsk    permit_ask;
case QUINCE_MESSAGE_PERMIT_ANSWER: QuincePermitAnswer permit_answer;
case QUINCE_MESSAGE_PERMIT_BACK:   QuincePermitAnswer permit_back;
case QUINCE_MESSAGE_WARMUP_ASK:    QuinceWarmupAsk    warmup_ask;
case QUINCE_MESSAGE_WARMUP_GRANT:  QuinceWarmupGrant  warmup_grant;
case QUINCE_MESSAGE_SUSPECT_SENDING: QuinceSuspectReports suspect_sending;
case QUINCE_MESSAGE_LEDGER_QUERY:   QuinceLedgerQuery   ledger_query;
case QUINCE_MESSAGE_LEDGER_LEAD:   QuinceLedgerLead   ledger_lead;
case QUINCE_MESSAGE_FEED_RELAYS:   QuinceFeedRelays   feed_relays;
case QUINCE_MESSAGE_LEDGER_CHANGE_REQUEST: QuinceLedgerChangeRequest ledger_change_request;
case QUINCE_MESSAGE_LEDGER_CHANGE_ACK: QuinceLedgerChangeAck ledger_change_ack;
};
