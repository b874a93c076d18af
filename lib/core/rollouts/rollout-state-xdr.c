/*
 * rollout-state-xdr.c: compiles the generated XDR code of the saved state.
 *
 * rpcgen declares variables that it may not use, which the project's own
 * warning settings refuse.
 */
#pragma GCC diagnostic ignored "-Wunused-variable"
#pragma GCC diagnostic ignored "-Wunused-but-set-variable"

#include "generated/rollout_state_xdr.c"
