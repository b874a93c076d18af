#!/bin/sh
# build.sh FOLDER [meson options]: configures FOLDER once, then builds it.
set -eu
cd "$(dirname "$0")/.."
folder=$1
shift
if [ ! -f "$folder/build.ninja" ]; then
    meson setup "$folder" "$@" >"$folder.log" 2>&1 || { cat "$folder.log" >&2; exit 1; }
    rm -f "$folder.log"
fi
ninja -C "$folder" --quiet
