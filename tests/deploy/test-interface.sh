#!/bin/sh
# test-interface.sh: what operators and their scripts hold on to stays as it is: the settings of both daemons with their
# help, the names of metrics and the names of log events.  The files of interface/ hold them as they were first given; a name that is
# added goes there too, one that is removed or renamed breaks dashboards, alerts and settings files.
set -eu
build=$QUINCE_BUILD_DIR
sources=$QUINCE_SOURCE_DIR
expected=$sources/tests/deploy/interface
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$sources"

for daemon in front replica; do
    "$build/daemons/quinceroute-$daemon" --help-settings >"$folder/$daemon-settings.txt"
done
find daemons platform lib -name '*.c' -o -name '*.h' | sort >"$folder/files"
xargs cat <"$folder/files" | grep -oE '"quince_[a-z_]+"' | tr -d '"' | sort -u >"$folder/metrics.txt"
# A call may be broken after its opening parenthesis.
xargs cat <"$folder/files" | tr '\n' ' ' |
    grep -oE 'quince_log_(info|notice|warning|failure) \( *(abandoned \? )?"[a-z_]+"( : "[a-z_]+")?' |
    grep -oE '"[a-z_]+"' | tr -d '"' | sort -u >"$folder/events.txt"

status=0
for name in front-settings replica-settings metrics events; do
    diff -u "$expected/$name.txt" "$folder/$name.txt" || status=1
done
exit $status
