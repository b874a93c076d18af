/*
 * rollout_state.x: saved form of a rollout book, for ledger snapshots.
 *
 * Everything that replicas agree on and nothing else: leases are soft state
 * and are absent.  Lists are sorted (trainers by name, steps by number,
 * claims by id) or in the order of the ledger (rollouts, samples), so that
 * equal books have equal encodings.
 */

%#include "quince_protocol.h"

const QUINCE_ROLLOUT_STATE_FORMAT = 2;
const QUINCE_ROLLOUT_MAX_TRAINERS = 4096;
const QUINCE_ROLLOUT_MAX_STEPS    = 4096;      /* open, for each trainer */
const QUINCE_ROLLOUT_MAX_ROLLOUTS = 16384;     /* for each step          */
const QUINCE_ROLLOUT_MAX_HELD     = 1048576;   /* samples in the book    */
const QUINCE_ROLLOUT_MAX_CLAIMS   = 4194304;

struct QuinceSampleState {
    QuinceSampleSpec    spec;
    unsigned int        generation;
    QuinceSampleResult *result;       /* absent: not complete            */
};

struct QuinceRolloutState {
    QuinceName        rollout_id;
    QuinceName        service;
    QuinceName        member;
    unsigned int      staleness_bound;
    QuinceSampleState samples<QUINCE_MAX_SAMPLES>;
};

struct QuinceStepState {
    unsigned hyper     step;
    bool               closed;
    bool               frozen;
    QuinceRolloutState rollouts<QUINCE_ROLLOUT_MAX_ROLLOUTS>;
};

struct QuinceTrainerState {
    QuinceName      name;
    unsigned hyper  version_seen;
    bool            released_any;
    unsigned hyper  released_through;
    QuinceStepState steps<QUINCE_ROLLOUT_MAX_STEPS>;
};

struct QuinceClaimState {
    opaque         request_id[QUINCE_ID_BYTES];
    unsigned hyper holder;
};

/* Claims on ids of the same second. */
struct QuinceClaimBucketState {
    unsigned hyper   expires_ms;
    QuinceClaimState claims<QUINCE_ROLLOUT_MAX_CLAIMS>;
};

struct QuinceBookState {
    unsigned int       format;
    unsigned hyper     clock_ms;
    unsigned hyper     delivered;
    unsigned hyper     duplicates_dropped;
    unsigned hyper     regenerated;
    QuinceTrainerState trainers<QUINCE_ROLLOUT_MAX_TRAINERS>;
    unsigned hyper     claims_floor_ms; /* unknown ids created before it are refused */
    QuinceClaimBucketState claims<QUINCE_ROLLOUT_MAX_CLAIMS>;
};
