/*
 * quince_protocol.x: messages between quinceroute's own processes.
 *
 * Units are in the field names: _ms milliseconds, _us microseconds,
 * counts otherwise.  Durations are relative, never wall-clock instants, so
 * that clock skew between machines cannot change their meaning.
 * Numbers named revision, epoch, incarnation and index only grow; a receiver
 * refuses a smaller one.
 *
 * TCP: each message is one frame, a 4-byte big-endian length and the XDR
 * encoding of QuinceMessage.  UDP: one datagram, one QuinceGossip.
 */

const QUINCE_ID_BYTES      = 16;
const QUINCE_MAX_NAME      = 128;
const QUINCE_MAX_PREFIX    = 64;
const QUINCE_MAX_ENGINES   = 1024;
const QUINCE_MAX_MEMBERS   = 1024;
const QUINCE_MAX_READINGS  = 96;    /* one datagram holds them */
const QUINCE_MAX_TEXT      = 4194304;
const QUINCE_MAX_SAMPLES   = 16384;
const QUINCE_MAX_ENTRIES   = 4096;
const QUINCE_MAX_SEGMENTS  = 4096;
const QUINCE_MAX_POLICY    = 65536;
const QUINCE_MAX_ITEMS     = 16384;
const QUINCE_MAX_INDEXES   = 65536;
const QUINCE_MAX_FRAME     = 67108864;
const QUINCE_PROTOCOL_VERSION = 1;

typedef opaque QuinceRequestId[QUINCE_ID_BYTES];
typedef string QuinceName<QUINCE_MAX_NAME>;

/* ---- Kinds of work ------------------------------------------------- */

enum QuinceWorkClass {
    QUINCE_WORK_LOOKUP  = 0,   /* a caller waits for the answer        */
    QUINCE_WORK_ROLLOUT = 1    /* a sample for a trainer               */
};

/* ---- Grants -------------------------------------------------------- */

struct QuinceGrantRequest {
    QuinceRequestId request_id;
    unsigned int    attempt;
    QuinceName      service;          /* which model service               */
    QuinceName      member;           /* tenant the work is counted to     */
    QuinceName      kind;             /* kind of Lookup, or "rollout"      */
    QuinceWorkClass work_class;
    bool            at_most_once;
    unsigned int    deadline_ms;      /* time left for the whole answer    */
    unsigned int    prompt_tokens;
    unsigned int    expected_tokens;
    unsigned hyper  prefix<QUINCE_MAX_PREFIX>; /* chained block hashes     */
    unsigned hyper  min_version;      /* 0: any weight version             */
    unsigned hyper  policy_revision;  /* highest the asker has seen        */
    QuinceName      avoid<8>;         /* engines an earlier attempt failed on */
};

enum QuinceRefusal {
    QUINCE_REFUSAL_OVERLOADED    = 0, /* cannot finish in time             */
    QUINCE_REFUSAL_POLICY        = 1, /* the policy program refused        */
    QUINCE_REFUSAL_NO_ENGINE     = 2, /* no engine serves this             */
    QUINCE_REFUSAL_NOT_READY     = 3, /* node does not know the policy     */
    QUINCE_REFUSAL_STOPPING      = 4, /* node leaves: ask another          */
    QUINCE_REFUSAL_DEADLINE      = 5, /* deadline passed in the queue      */
    QUINCE_REFUSAL_BAD_REQUEST   = 6
};

struct QuinceGrant {
    unsigned hyper grant_id;          /* unique within the node incarnation */
    QuinceName     engine;
    QuinceName     engine_address;    /* numeric ip:port                   */
    int            priority;          /* greater runs first                */
    unsigned hyper min_version;
    unsigned int   expires_ms;        /* dispatch must start before this   */
};

struct QuinceRefused {
    QuinceRefusal reason;
    unsigned int  retry_after_ms;
    string        detail<256>;
};

enum QuinceVerdictKind { QUINCE_VERDICT_GRANTED = 0, QUINCE_VERDICT_REFUSED = 1 };

union QuinceVerdict switch (QuinceVerdictKind kind) {
case QUINCE_VERDICT_GRANTED: QuinceGrant   grant;
case QUINCE_VERDICT_REFUSED: QuinceRefused refused;
};

struct QuinceGrantReply {
    QuinceRequestId request_id;
    unsigned int    attempt;
    unsigned hyper  policy_revision;  /* revision that decided             */
    unsigned hyper  sent_us;          /* sender's monotonic clock          */
    QuinceVerdict   verdict;
};

enum QuinceOutcome {
    QUINCE_OUTCOME_FINISHED     = 0,
    QUINCE_OUTCOME_NOT_SENT     = 1,  /* never dispatched                  */
    QUINCE_OUTCOME_REFUSED      = 2,  /* engine's explicit refusal         */
    QUINCE_OUTCOME_BROKEN       = 3,  /* connection failed after dispatch  */
    QUINCE_OUTCOME_CANCELLED    = 4
};

struct QuinceGrantEnd {
    unsigned hyper grant_id;
    QuinceOutcome  outcome;
    bool           on_time;
    unsigned int   tokens;
    unsigned int   service_ms;
    unsigned hyper weight_version;    /* as the engine reported; 0 unknown */
    bool           engine_leaving;    /* engine said so in its answer      */
};

struct QuinceGrantCancel {
    QuinceRequestId request_id;
    unsigned int    attempt;
};

/* ---- Sessions between processes ----------------------------------- */

enum QuinceRole { QUINCE_ROLE_AGENT = 0, QUINCE_ROLE_NODE = 1, QUINCE_ROLE_TOOL = 2 };

struct QuinceHello {
    unsigned int   protocol_version;
    unsigned hyper deployment;        /* hash of its name; others are refused */
    QuinceRole     role;
    QuinceName     name;
    QuinceName     zone;
    unsigned hyper incarnation;
    unsigned hyper policy_revision;
};

enum QuinceMemberState {
    QUINCE_MEMBER_ALIVE   = 0,
    QUINCE_MEMBER_SUSPECT = 1,
    QUINCE_MEMBER_LEAVING = 2,
    QUINCE_MEMBER_DEAD    = 3
};

struct QuinceMember {
    QuinceName        name;
    QuinceName        zone;
    QuinceName        address;        /* numeric ip:port, TCP              */
    QuinceName        gossip_address; /* numeric ip:port, UDP              */
    unsigned hyper    incarnation;
    QuinceMemberState state;
    unsigned hyper    replica_id;     /* 0: keeps no ledger                */
};

/* Pushed by a node to every link peer each second and on change. */
struct QuinceNodeStatus {
    QuinceName     name;
    unsigned hyper incarnation;
    unsigned hyper sent_us;           /* sender's monotonic clock          */
    bool           ready;
    bool           stopping;
    unsigned hyper policy_revision;
    QuinceName     ledger_leader;     /* address, "" unknown               */
    unsigned hyper ledger_epoch;
    unsigned hyper weight_version;    /* newest active target, 0 unknown   */
    QuinceMember   members<QUINCE_MAX_MEMBERS>; /* of its zone, and some others */
};

/* ---- Samples ------------------------------------------------------- */

struct QuinceSegment {
    QuinceName     engine;
    unsigned hyper weight_version;    /* reported with the tokens          */
    unsigned int   first_token;
    unsigned int   token_count;
};

struct QuinceSampleSpec {
    QuinceName   sample_id;           /* unique for its trainer            */
    string       prompt<QUINCE_MAX_TEXT>;
    unsigned int max_tokens;
    unsigned int expected_tokens;     /* 0 unknown                         */
};

struct QuinceSampleResult {
    QuinceName    sample_id;
    string        text<QUINCE_MAX_TEXT>;
    unsigned int  token_count;
    double        reward;
    bool          scored;
    QuinceSegment segments<QUINCE_MAX_SEGMENTS>;
};

/* ---- Ledger commands (replicated) and calls ------------------------ */

struct QuinceSubmitRollout {
    QuinceName       trainer;
    QuinceName       rollout_id;      /* repeat is harmless                */
    QuinceName       service;
    QuinceName       member;
    unsigned hyper   step;
    unsigned int     staleness_bound; /* versions                          */
    QuinceSampleSpec samples<QUINCE_MAX_SAMPLES>;
};

struct QuinceCompleteSample {
    QuinceName         trainer;
    unsigned hyper     step;
    unsigned int       generation;    /* of the sample; old one is dropped */
    QuinceSampleResult result;
};

struct QuincePullStep {
    QuinceName     trainer;
    unsigned hyper step;
    unsigned hyper trainer_version;   /* weight version the trainer holds  */
};

/* Not replicated: the next samples of a batch that a pull has frozen. */
struct QuinceReadPage {
    QuinceName     trainer;
    unsigned hyper step;
    unsigned hyper batch_id;          /* from the answer to the pull       */
    unsigned int   first;             /* index of the first sample wanted  */
};

struct QuinceReleaseStep {
    QuinceName     trainer;
    unsigned hyper step;              /* received whole                    */
};

/* At most once: the first holder of an id may run it, no one else ever. */
struct QuinceClaimRequest {
    QuinceRequestId request_id;
    unsigned hyper  holder;           /* random, one per dispatch intent   */
    unsigned int    keep_ms;          /* remembered at least this long     */
};

/* Holder gives the id back: it did not dispatch and never will. */
struct QuinceUnclaimRequest {
    QuinceRequestId request_id;
    unsigned hyper  holder;
};

/* Not replicated: leases samples to an agent that will run them. */
struct QuinceLeaseSamples {
    QuinceName   agent;
    unsigned int most;
    unsigned int lease_ms;
};

/* Not replicated: leases still running, so that they are not given again. */
struct QuinceLeaseRef {
    QuinceName     trainer;
    unsigned hyper step;
    QuinceName     sample_id;
    unsigned int   generation;
};
struct QuinceRenewLeases {
    QuinceName     agent;
    unsigned int   lease_ms;
    QuinceLeaseRef leases<QUINCE_MAX_SAMPLES>;
};

enum QuinceCommandKind {
    QUINCE_COMMAND_SUBMIT   = 0,
    QUINCE_COMMAND_COMPLETE = 1,
    QUINCE_COMMAND_PULL     = 2,
    QUINCE_COMMAND_RELEASE  = 3,
    QUINCE_COMMAND_CLAIM    = 4,
    QUINCE_COMMAND_UNCLAIM  = 5,
    QUINCE_COMMAND_LEASE    = 6,
    QUINCE_COMMAND_RENEW    = 7,
    QUINCE_COMMAND_PAGE     = 8
};

union QuinceCommand switch (QuinceCommandKind kind) {
case QUINCE_COMMAND_SUBMIT:   QuinceSubmitRollout  submit;
case QUINCE_COMMAND_COMPLETE: QuinceCompleteSample complete;
case QUINCE_COMMAND_PULL:     QuincePullStep       pull;
case QUINCE_COMMAND_RELEASE:  QuinceReleaseStep    release;
case QUINCE_COMMAND_CLAIM:    QuinceClaimRequest   claim;
case QUINCE_COMMAND_UNCLAIM:  QuinceUnclaimRequest unclaim;
case QUINCE_COMMAND_LEASE:    QuinceLeaseSamples   lease;
case QUINCE_COMMAND_RENEW:    QuinceRenewLeases    renew;
case QUINCE_COMMAND_PAGE:     QuinceReadPage       page;
};

/* What is written to the ledger: the leader stamps the time once, so that
 * every replica applies the same expiry. */
struct QuinceLedgerRecord {
    unsigned hyper leader_time_ms;
    QuinceCommand  command;
};

enum QuinceLedgerStatus {
    QUINCE_LEDGER_OK          = 0,
    QUINCE_LEDGER_NOT_LEADER  = 1,    /* nothing was done; see leader      */
    QUINCE_LEDGER_UNKNOWN     = 2,    /* may or may not take effect        */
    QUINCE_LEDGER_DUPLICATE   = 3,    /* claim: another holder has it      */
    QUINCE_LEDGER_NOT_COMPLETE = 4,   /* pull: step is not whole yet       */
    QUINCE_LEDGER_CONFLICT    = 5,    /* same id, other content            */
    QUINCE_LEDGER_NO_SUCH     = 6,
    QUINCE_LEDGER_GONE        = 7,    /* step already released             */
    QUINCE_LEDGER_BUSY        = 8     /* nothing was done; come back       */
};

struct QuinceLeasedSample {
    QuinceName       trainer;
    QuinceName       service;
    QuinceName       member;
    unsigned hyper   step;
    unsigned int     generation;
    unsigned hyper   min_version;
    QuinceSampleSpec spec;
};

struct QuinceBatch {
    QuinceName         trainer;
    unsigned hyper     step;
    unsigned int       ready;         /* samples complete so far           */
    unsigned int       total;
    unsigned hyper     batch_id;      /* of the frozen samples; made anew, they have another */
    unsigned int       first;         /* index of the first result         */
    QuinceSampleResult results<QUINCE_MAX_SAMPLES>; /* one page            */
};

union QuinceLedgerResult switch (QuinceCommandKind kind) {
case QUINCE_COMMAND_PULL:
case QUINCE_COMMAND_PAGE:  QuinceBatch        batch;
case QUINCE_COMMAND_LEASE: QuinceLeasedSample leased<QUINCE_MAX_SAMPLES>;
default: void;
};

struct QuinceLedgerCall {
    unsigned hyper call_id;
    QuinceCommand  command;
};

struct QuinceLedgerReply {
    unsigned hyper     call_id;
    QuinceLedgerStatus status;
    QuinceName         leader;        /* address, "" unknown               */
    unsigned int       retry_after_ms;
    QuinceLedgerResult result;
};

/* ---- Ledger replication (node to node) ------------------------------ */

struct QuinceReplica {
    unsigned hyper replica_id;        /* random, kept in the data folder   */
    QuinceName     node;
    QuinceName     zone;
    QuinceName     address;
};

struct QuinceReplicaSet {
    QuinceReplica voters<16>;
};

enum QuinceEntryKind {
    QUINCE_ENTRY_NOOP     = 0,
    QUINCE_ENTRY_RECORD   = 1,
    QUINCE_ENTRY_VOTERS   = 2
};

struct QuinceEntry {
    unsigned hyper  index;
    unsigned hyper  epoch;
    QuinceEntryKind kind;
    opaque          data<QUINCE_MAX_FRAME>;           /* QuinceLedgerRecord or QuinceReplicaSet */
};

struct QuinceVoteRequest {
    unsigned hyper epoch;
    unsigned hyper candidate;
    unsigned hyper last_index;
    unsigned hyper last_epoch;
    bool           trial;             /* pre-vote: changes nothing         */
    bool           transfer;          /* leader asked for this election    */
};

struct QuinceVoteReply {
    unsigned hyper epoch;
    unsigned hyper voter;
    bool           granted;
    bool           trial;
};

struct QuinceAppendRequest {
    unsigned hyper epoch;
    unsigned hyper leader;
    unsigned hyper previous_index;
    unsigned hyper previous_epoch;
    unsigned hyper commit_index;
    unsigned hyper round;             /* echoed, confirms leadership       */
    QuinceEntry    entries<QUINCE_MAX_ENTRIES>;
};

struct QuinceAppendReply {
    unsigned hyper epoch;
    unsigned hyper follower;
    bool           success;
    unsigned hyper match_index;       /* or a hint where to try next       */
    unsigned hyper round;
};

struct QuinceSnapshotRequest {
    unsigned hyper   epoch;
    unsigned hyper   leader;
    unsigned hyper   last_index;
    unsigned hyper   last_epoch;
    QuinceReplicaSet voters;
    unsigned hyper   offset;
    bool             done;
    opaque           data<QUINCE_MAX_FRAME>;
};

struct QuinceSnapshotReply {
    unsigned hyper epoch;
    unsigned hyper follower;
    unsigned hyper last_index;
    unsigned hyper next_offset;
};

struct QuinceJoinRequest { QuinceReplica replica; };
struct QuinceTransferRequest { unsigned hyper epoch; unsigned hyper leader; };

enum QuinceReplicationKind {
    QUINCE_REPLICATION_VOTE_REQUEST     = 0,
    QUINCE_REPLICATION_VOTE_REPLY       = 1,
    QUINCE_REPLICATION_APPEND_REQUEST   = 2,
    QUINCE_REPLICATION_APPEND_REPLY     = 3,
    QUINCE_REPLICATION_SNAPSHOT_REQUEST = 4,
    QUINCE_REPLICATION_SNAPSHOT_REPLY   = 5,
    QUINCE_REPLICATION_JOIN             = 6,
    QUINCE_REPLICATION_TRANSFER         = 7
};

union QuinceReplicationBody switch (QuinceReplicationKind kind) {
case QUINCE_REPLICATION_VOTE_REQUEST:     QuinceVoteRequest     vote_request;
case QUINCE_REPLICATION_VOTE_REPLY:       QuinceVoteReply       vote_reply;
case QUINCE_REPLICATION_APPEND_REQUEST:   QuinceAppendRequest   append_request;
case QUINCE_REPLICATION_APPEND_REPLY:     QuinceAppendReply     append_reply;
case QUINCE_REPLICATION_SNAPSHOT_REQUEST: QuinceSnapshotRequest snapshot_request;
case QUINCE_REPLICATION_SNAPSHOT_REPLY:   QuinceSnapshotReply   snapshot_reply;
case QUINCE_REPLICATION_JOIN:             QuinceJoinRequest     join;
case QUINCE_REPLICATION_TRANSFER:         QuinceTransferRequest transfer;
};

struct QuinceReplication {
    unsigned hyper        from;       /* replica ids; a message for another */
    unsigned hyper        to;         /* incarnation of the disk is dropped; 0: any (join) */
    QuinceReplicationBody body;
};

/* ---- Policy spread -------------------------------------------------- */

struct QuincePolicyFetch { unsigned hyper at_least; };

struct QuincePolicyBody {
    unsigned hyper revision;          /* 0: none known                     */
    string         hash<64>;          /* hex XXH3-128 of text              */
    string         text<QUINCE_MAX_POLICY>;
};

/* ---- Batches: what the batch ledger keeps ---------------------------- */

typedef string QuinceText<QUINCE_MAX_TEXT>;

struct QuinceTextPair {
    QuinceText name;
    QuinceText value;
};

/* A call that judges a finished sample. */
struct QuinceRewardCall {
    QuinceText id;
    QuinceText host;
    QuinceText path;
    opaque     body<QUINCE_MAX_FRAME>;
};

struct QuinceBatchItem {
    QuinceText       id;
    QuinceText       path;
    QuinceTextPair   headers<64>;
    opaque           body<QUINCE_MAX_FRAME>;
    unsigned int     tokens;          /* of the prompt and the most out    */
    QuinceText       group;           /* empty: a group of its own         */
    QuinceRewardCall reward<1>;
};

struct QuinceBatchJob {
    QuinceText      id;
    QuinceText      host;
    QuinceText      path;             /* of the submission: leads to its route */
    QuinceText      model;
    unsigned hyper  submitted_ms;     /* wall clock of who took it         */
    unsigned hyper  step;
    unsigned hyper  minimum_version;
    unsigned int    wanted_groups;
    QuinceBatchItem items<QUINCE_MAX_ITEMS>;
};

struct QuinceBatchResult {
    QuinceText     batch;
    unsigned int   item;              /* place in QuinceBatchJob.items        */
    bool           abandoned;
    opaque         text<QUINCE_MAX_FRAME>;
    unsigned hyper versions<256>;
    QuinceText     score;
};

/* A result as it is kept: what a reader of the log needs is outside, the rest is decoded when a caller asks. */
struct QuinceListedResult {
    QuinceText     batch;
    unsigned int   item;
    opaque         body<QUINCE_MAX_FRAME>; /* QuinceBatchResult, encoded, perhaps packed */
};

/* A batch that a tenant submitted.  Logs of builds that knew no tenants hold QuinceBatchJob alone. */
struct QuinceTenantBatch {
    QuinceText     tenant;            /* found by the key when it was taken */
    QuinceBatchJob batch;
};

/* The records of the batch, its submission first, may be dropped. */
struct QuinceBatchForget {
    QuinceText     batch;
    unsigned hyper indexes<QUINCE_MAX_INDEXES>;
};

/* ---- Usage: how many requests of each tenant began, by windows of time ---- */

/* One request that began at a worker. */
struct QuinceUsageEvent {
    unsigned hyper sequence;          /* of its front; only grows          */
    QuinceText     tenant;
    unsigned hyper begun_ms;          /* wall clock, agreed on among machines */
};

struct QuinceUsageEvents {
    unsigned hyper   source;          /* random, of one start of a front   */
    QuinceUsageEvent events<QUINCE_MAX_INDEXES>;
};

struct QuinceUsageRecord { QuinceUsageEvents sources<QUINCE_MAX_INDEXES>; };

struct QuinceUsageCount {
    QuinceText   tenant;
    unsigned int requests;
};

/* What is reported of a window, whoever reports it; the first such record of a window counts. */
struct QuinceUsageWindow {
    unsigned hyper   window;          /* number of the window since 1970   */
    QuinceUsageCount counts<QUINCE_MAX_INDEXES>; /* sorted by tenant       */
};

enum QuinceBatchRecordKind {
    QUINCE_BATCH_RECORD_SUBMIT = 0,
    QUINCE_BATCH_RECORD_RESULT = 1,
    QUINCE_BATCH_RECORD_END    = 2,
    QUINCE_BATCH_RECORD_FORGET = 3,
    QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT = 4,
    QUINCE_BATCH_RECORD_USAGE  = 5,
    QUINCE_BATCH_RECORD_USAGE_CLOSED = 6,
    QUINCE_BATCH_RECORD_USAGE_SENT = 7,
    QUINCE_BATCH_RECORD_LISTED = 8
};

union QuinceBatchRecord switch (QuinceBatchRecordKind kind) {
case QUINCE_BATCH_RECORD_SUBMIT: QuinceBatchJob       submit;
case QUINCE_BATCH_RECORD_RESULT: QuinceBatchResult result;
case QUINCE_BATCH_RECORD_END:    QuinceText        ended;
case QUINCE_BATCH_RECORD_FORGET: QuinceBatchForget forget;
case QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT: QuinceTenantBatch submit_of_tenant;
case QUINCE_BATCH_RECORD_USAGE: QuinceUsageRecord usage;
case QUINCE_BATCH_RECORD_USAGE_CLOSED: QuinceUsageWindow usage_closed;
case QUINCE_BATCH_RECORD_USAGE_SENT: unsigned hyper usage_sent; /* a window */
case QUINCE_BATCH_RECORD_LISTED: QuinceListedResult listed;
};

/* ---- Batch ledger: one primary, its backups, and who they are --------- */

struct QuinceLedgerMember {
    QuinceText     node;
    QuinceText     address;           /* of its link server                */
    unsigned hyper replica;           /* of its disk; 0 never              */
};

/* Lies in the metadata store and changes there under a condition only. */
struct QuinceLedgerView {
    unsigned hyper     epoch;         /* grows with each primary           */
    unsigned hyper     primary;       /* replica of one of the members     */
    QuinceLedgerMember members<64>;   /* all hold all that was acknowledged */
};

struct QuinceLogEntry {
    unsigned hyper index;
    unsigned hyper epoch;
    opaque         record<QUINCE_MAX_FRAME>;
};

/* A backup to its primary, first on a link. */
struct QuinceLedgerHello {
    QuinceLedgerMember member;
    unsigned hyper     last_index;
    unsigned hyper     last_epoch;
    unsigned hyper     commit_index;  /* of what surely is in every later log */
    unsigned hyper     commit_epoch;
    QuinceText         zone;          /* where its machine stands            */
};

struct QuinceLedgerAppend {
    unsigned hyper epoch;
    unsigned hyper replica;           /* whom it is for                    */
    bool           reset;             /* drop all that is held first       */
    unsigned hyper end_index;         /* of the primary's log              */
    unsigned hyper held_index;        /* after this the receiver holds that log up to here */
    unsigned hyper commit_index;
    unsigned hyper sent_us;           /* primary's monotonic clock         */
    QuinceLogEntry entries<4096>;
};

struct QuinceLedgerAck {
    unsigned hyper epoch;
    unsigned hyper replica;
    unsigned hyper last_index;        /* on disk                           */
    unsigned hyper echo_us;           /* sent_us of what is answered       */
    unsigned hyper promised;          /* greater than epoch: refused, since this was promised to another */
};

/* A backup that does not hear its primary asks to be followed. */
struct QuinceLedgerAsk {
    unsigned hyper epoch;
    unsigned hyper replica;           /* who asks                          */
    unsigned hyper last_index;
    unsigned hyper last_epoch;
};

struct QuinceLedgerPromise {
    unsigned hyper epoch;
    unsigned hyper replica;           /* who promises                      */
    unsigned hyper last_index;
    unsigned hyper last_epoch;
};

/* Who knows no primary that answers asks the members of the last view that it knows. */
struct QuinceLedgerQuery {
    unsigned hyper revision;          /* of that view in the metadata store */
    unsigned hyper epoch;             /* of the last primary that it knows  */
    unsigned hyper replica;           /* who asks; 0: a front               */
    bool           changing;          /* it leads, and asks to note that it changes members on that revision */
};

/* The answer of any replica that knows a view; a new primary tells it unasked. */
struct QuinceLedgerLead {
    unsigned hyper   revision;        /* of the view in the store that the lead rests on */
    QuinceLedgerView view;            /* its members, with the epoch and the primary in force */
    unsigned hyper   replica;         /* who tells */
    unsigned hyper   promised;        /* greatest epoch that it promised */
    unsigned hyper   promised_to;     /* and to whom; 0: not known any more */
    unsigned hyper   noted;           /* greatest revision on which members may change */
    unsigned hyper   answered;        /* epoch whose primary is known to have answered itself; 0: none */
    unsigned hyper   shown_epoch;     /* epoch and primary that the store shows at that revision; 0: not known */
    unsigned hyper   shown_primary;
    bool             shown_answers;   /* the primary of that epoch is known to have answered itself */
};

/* ---- Progress: texts of samples as far as they are made, to the backups ---- */

struct QuinceProgressItem {
    QuinceText     batch;
    unsigned int   item;
    unsigned hyper from_event;        /* text follows this event; 0: from the start */
    unsigned hyper last_event;
    opaque         text<QUINCE_MAX_FRAME>;
    unsigned hyper versions<256>;     /* of the whole text so far          */
    unsigned int   failures;          /* answers of 500 so far             */
};

struct QuinceSampleProgress { QuinceProgressItem items<QUINCE_MAX_ITEMS>; };

/* ---- Beliefs: what the ledger's primary reads from the metadata store, for the others ---- */

struct QuinceFeedItem {
    QuinceText     key;
    unsigned hyper revision;
    bool           gone;
    opaque         value<QUINCE_MAX_TEXT>;
};

/* Asked for once on a link: what the asker has of each prefix, 0: nothing, in the order in which
 * observers list them. */
struct QuinceFeedSubscribe { unsigned hyper revisions<8>; };

/* Also sent without items, as a sign that the sender reads the store. */
struct QuinceFeedUpdate {
    QuinceText     prefix;
    unsigned hyper after;             /* all changes since then are here   */
    unsigned hyper revision;          /* of the store when it was read     */
    bool           whole;             /* all keys of the prefix            */
    bool           may_have_lapsed;   /* keys that went: their owners may live, the store was away */
    QuinceFeedItem   items<QUINCE_MAX_INDEXES>;
};

/* From the ledger's leader to all that asked for news, several times a second. */
struct QuinceHeartbeat {
    bool           certain;           /* silent is all that are not heard  */
    QuinceText     silent<QUINCE_MAX_INDEXES>;
};

/* A front's answer to each. */
struct QuinceHeartbeatAck { QuinceText node; };

/* An encoded message, compressed: runtime/packed-message.h. */
struct QuincePacked { opaque data<QUINCE_MAX_FRAME>; };

/* A caller's call that the ledger's primary answers, passed on as it came. */
struct QuinceServiceCall {
    unsigned hyper id;                /* of the link                       */
    QuinceText     method;
    QuinceText     target;
    QuinceTextPair headers<128>;
    opaque         body<QUINCE_MAX_FRAME>;
};

struct QuinceServiceReply {
    unsigned hyper id;
    unsigned int   status;
    unsigned int   retry_after_ms;    /* 0: none                           */
    QuinceText     content_type;
    opaque         body<QUINCE_MAX_FRAME>;
};

/* A request that began at a worker of a front's choice. */
struct QuinceUsageStart {
    unsigned hyper sequence;
    QuinceText     tenant;
    unsigned hyper age_ms;            /* since it began, when this is sent */
};

/* A front to the ledger's leader: what began, again until it is acknowledged. */
struct QuinceUsageReport {
    unsigned hyper  source;
    unsigned hyper  wall_ms;          /* wall clock of the front           */
    QuinceUsageStart events<QUINCE_MAX_INDEXES>;
};

/* The leader's answer: all up to @sequence will outlive it. */
struct QuinceUsageAck {
    unsigned hyper source;
    unsigned hyper sequence;
};

/* ---- Quarantine: requests under which workers ended, see core/request/quarantine.h ---- */

const QUINCE_DIGEST_BYTES = 16;
const QUINCE_MAX_SUSPECTS = 4096;
typedef opaque QuinceDigest[QUINCE_DIGEST_BYTES];

struct QuinceSuspectReport {
    QuinceDigest   digest;
    unsigned hyper release;           /* how often it was released; only grows */
    unsigned hyper workers<8>;        /* hashes of the ids of those that ended */
    unsigned int   alone;
    bool           held;
    bool           cleared;           /* a worker answered it: nothing else counts */
    unsigned hyper age_ms;            /* since the last end, when this is sent */
    QuinceText     service;
    QuinceText     software;
    QuinceText     reported_by;           /* who saw the last end              */
    bool           prompt;            /* not one request, but what several share */
    unsigned hyper member;            /* of a prompt: hash of the request that last met an end alone; 0: none */
};

/* Between fronts and the ledger's leader, both ways: all that the sender knows of these requests. */
/* As SUSPECT_SENDING, from the leader to its successor: what will be known if the worker of a send ends. */
struct QuinceSuspectReports { QuinceSuspectReport suspects<QUINCE_MAX_SUSPECTS>; };

/* A front asks the leader for a permit, or gives it back. */
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

/* A front asks the ledger's leader for sends to one worker that is cold.  An ask is not kept: a front that still
 * needs sends asks again. */
struct QuinceWarmupAsk {
    unsigned hyper ask;               /* of the front, only grows */
    QuinceText     worker;
    unsigned int   sends;
};
/* The leader's answer.  What is granted is used within valid_ms of the moment at which the ask was sent, or
 * never: no delay and no clock of the leader makes it longer. */
struct QuinceWarmupGrant {
    unsigned hyper ask;
    QuinceText     worker;
    unsigned int   sends;             /* 0: none now */
    unsigned int   valid_ms;
    unsigned int   again_ms;          /* ask again no sooner */
};

/* ---- TCP envelope --------------------------------------------------- */

enum QuinceMessageKind {
    QUINCE_MESSAGE_HELLO         = 0,
    QUINCE_MESSAGE_NODE_STATUS   = 1,
    QUINCE_MESSAGE_GRANT_REQUEST = 2,
    QUINCE_MESSAGE_GRANT_REPLY   = 3,
    QUINCE_MESSAGE_GRANT_END     = 4,
    QUINCE_MESSAGE_GRANT_CANCEL  = 5,
    QUINCE_MESSAGE_LEDGER_CALL   = 6,
    QUINCE_MESSAGE_LEDGER_REPLY  = 7,
    QUINCE_MESSAGE_REPLICATION   = 8,
    QUINCE_MESSAGE_POLICY_FETCH  = 9,
    QUINCE_MESSAGE_POLICY_BODY   = 10,
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
    QUINCE_MESSAGE_LEDGER_LEAD   = 34
};

union QuinceMessage switch (QuinceMessageKind kind) {
case QUINCE_MESSAGE_HELLO:         QuinceHello        hello;
case QUINCE_MESSAGE_NODE_STATUS:   QuinceNodeStatus   node_status;
case QUINCE_MESSAGE_GRANT_REQUEST: QuinceGrantRequest grant_request;
case QUINCE_MESSAGE_GRANT_REPLY:   QuinceGrantReply   grant_reply;
case QUINCE_MESSAGE_GRANT_END:     QuinceGrantEnd     grant_end;
case QUINCE_MESSAGE_GRANT_CANCEL:  QuinceGrantCancel  grant_cancel;
case QUINCE_MESSAGE_LEDGER_CALL:   QuinceLedgerCall   ledger_call;
case QUINCE_MESSAGE_LEDGER_REPLY:  QuinceLedgerReply  ledger_reply;
case QUINCE_MESSAGE_REPLICATION:   QuinceReplication  replication;
case QUINCE_MESSAGE_POLICY_FETCH:  QuincePolicyFetch  policy_fetch;
case QUINCE_MESSAGE_POLICY_BODY:   QuincePolicyBody   policy_body;
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
};

/* ---- UDP: membership and digests ------------------------------------ */

/* Load that one node has put on one engine, or a sign about the engine. */
struct QuinceEngineDigest {
    QuinceName     engine;
    unsigned hyper sequence;          /* of the reporting node, only grows */
    unsigned int   granted;           /* slots this node holds             */
    bool           leaving;
};

/* What the owner of an engine read from it last, packed: quince/engine-readings.h. */
struct QuinceEngineReading {
    unsigned int engine;              /* hash of its name                  */
    unsigned int load;
    unsigned int versions;            /* and age                           */
};

/* Goes from its node straight to others of the zone, and is never passed on. */
struct QuinceEngineReadings {
    unsigned hyper      incarnation;  /* of the node; its clock is one for each */
    unsigned hyper      sent_us;      /* sender's monotonic clock          */
    unsigned hyper      base_version; /* least version that is named       */
    QuinceEngineReading engines<QUINCE_MAX_READINGS>;
};

struct QuinceNodeDigest {
    QuinceName         node;
    unsigned hyper     incarnation;
    unsigned hyper     sequence;      /* of the node, grows with each digest */
    unsigned hyper     policy_revision;
    unsigned hyper     ledger_epoch;
    unsigned hyper     ledger_leader; /* replica id, 0 unknown             */
    QuinceEngineDigest engines<64>;
    QuinceEngineReadings readings<1>; /* with them the rest is empty       */
};

enum QuinceGossipKind {
    QUINCE_GOSSIP_PING     = 0,
    QUINCE_GOSSIP_ACK      = 1,
    QUINCE_GOSSIP_PING_VIA = 2,       /* ask a third to probe              */
    QUINCE_GOSSIP_SYNC     = 3,       /* summary: what the sender knows    */
    QUINCE_GOSSIP_RECORDS  = 4        /* answer: what the other one lacks  */
};

struct QuinceGossip {
    QuinceGossipKind  kind;
    unsigned int      deployment;     /* low half of its number; others are dropped */
    unsigned int      sequence;
    QuinceName        from;
    QuinceName        target;         /* whom the probe is for             */
    QuinceName        target_address; /* with PING_VIA                     */
    QuinceMember      updates<16>;
    QuinceNodeDigest  digests<8>;
    opaque            summary<1280>;  /* with SYNC and the last RECORDS    */
};
