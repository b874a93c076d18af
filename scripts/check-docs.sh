#!/bin/sh
# check-docs.sh: files and functions that ARCHITECTURE.md and DECISIONS.md name exist.
set -eu
cd "$(dirname "$0")/.."
status=0
for page in docs/ARCHITECTURE.md docs/DECISIONS.md; do
    for path in $(grep -oE '`(lib|daemons|platform|tools|scripts|tests)/[a-zA-Z0-9_/.-]+`' "$page" | tr -d '`' | sort -u); do
        [ -e "$path" ] || { echo "check-docs: $page names $path, which is not there" >&2; status=1; }
    done
    for name in $(grep -oE '`quince_[a-z0-9_]+`' "$page" | tr -d '`' | sort -u); do
        git grep -qwF "$name" -- '*.c' '*.h' '*.x' || { echo "check-docs: $page names $name, which is not there" >&2; status=1; }
    done
done
exit $status
