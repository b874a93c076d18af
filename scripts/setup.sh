#!/bin/sh
# Installs the libraries and tools that the build needs (Debian packages).
# Does nothing when they are there.
set -eu

LIBRARIES="glib-2.0 gio-unix-2.0 json-glib-1.0 yajl libtirpc lua5.4 sqlite3 libxxhash zlib cmocka"
TOOLS="gcc meson ninja pkg-config clang-format cppcheck"
PACKAGES="gcc libc6-dev meson ninja-build pkg-config libglib2.0-dev libjson-glib-dev libyajl-dev libtirpc-dev
liblua5.4-dev libsqlite3-dev libxxhash-dev libhttp-parser-dev zlib1g-dev libcmocka-dev clang-format cppcheck"

is_complete() {
    for tool in $TOOLS; do
        command -v "$tool" >/dev/null 2>&1 || return 1
    done
    # shellcheck disable=SC2086
    pkg-config --exists $LIBRARIES && [ -f /usr/include/http_parser.h ]
}

if is_complete; then
    exit 0
fi

run_as_root=""
[ "$(id -u)" = 0 ] || run_as_root="sudo"
echo "setup: installing packages"
export DEBIAN_FRONTEND=noninteractive
$run_as_root apt-get update -qq
# shellcheck disable=SC2086
$run_as_root apt-get install -y -qq --no-install-recommends $PACKAGES >/dev/null
if ! is_complete; then
    echo "setup: something is still missing after the install" >&2
    exit 1
fi
