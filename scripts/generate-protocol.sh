#!/bin/sh
# Regenerates the committed XDR code.  Only needed when an .x file changes.
set -eu
cd "$(dirname "$0")/.."

# generate FOLDER NAME: FOLDER/NAME.x to FOLDER/generated/NAME.h and NAME_xdr.c
generate() (
  cd "$1"
  mkdir -p generated
  cp "$2.x" generated/
  cd generated
  rm -f "$2.h" "$2_xdr.c"
  rpcgen -N -C -h -o "$2.h" "$2.x"
  rpcgen -C -c -o "$2_xdr.c" "$2.x"
  rm "$2.x"
)

generate lib/protocol quince_protocol
generate lib/core/rollouts rollout_state
