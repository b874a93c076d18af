#!/bin/sh
# test-deploy-build.sh: the build line of deploy/system.toml makes every program that it runs, on a clean copy of the
# sources, beside files that others laid into target/ before, and once more over its own result.
set -eu
sources=$QUINCE_SOURCE_DIR
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# One archive, however many files there are: xargs would make several of a long list, of which the first is read.
(cd "$sources" && git ls-files -z -- ':!journal' | tar cf - --null --files-from=-) | tar xf - -C "$folder"
cd "$folder"
mkdir -p target/others
touch target/others/left-before
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$line" ] || { echo "deploy/system.toml has no build line" >&2; exit 1; }

# build NAME: runs the line and checks what it made
build() {
    sh -c "$line" >build.log 2>&1 || { echo "the $1 build failed:" >&2; tail -20 build.log >&2; exit 1; }
    sed -n 's/^run = "\([^ "]*\).*/\1/p' deploy/system.toml | while read -r program; do
        [ -x "$program" ] || { echo "the $1 build made no $program" >&2; exit 1; }
    done
}
build first
build second

# The programs need none of the tests, and name their version without a settings file.
for program in $(sed -n 's/^run = "\([^ "]*\).*/\1/p' deploy/system.toml); do
    "$program" --version >/dev/null || { echo "$program does not start" >&2; exit 1; }
done
