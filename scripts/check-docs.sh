#!/bin/sh
# check-docs.sh: files and identifiers that the pages name in backquotes exist.
#
# Identifiers: quince_*, Quince*, QUINCE_* and names in capitals, also without their leading words; test_* without
# backquotes too.
set -eu
export LC_ALL=C
cd "$(dirname "$0")/.."
status=0
pages=$(git ls-files '*.md' | grep -v '^journal/')
known=$(mktemp)
named=$(mktemp)
trap 'rm -f "$known" "$named"' EXIT

quoted() {
    grep -oE '`[^`]+`' "$1" | tr -d '`' | sed 's/ *()$//'
}

for page in $pages; do
    for path in $(quoted "$page" | grep -E '^(lib|daemons|platform|tools|scripts|tests|rehearsal|deploy)/[a-zA-Z0-9_/.-]+$' | sort -u); do
        [ -e "$path" ] || { echo "check-docs: $page names $path, which is not there" >&2; status=1; }
    done
done

# Each identifier of the sources, and each of its endings after an underscore.
git grep -hoE '[A-Za-z_][A-Za-z0-9_]*' -- '*.c' '*.h' '*.x' '*.lua' | sort -u |
    awk '{ print; name = $0; while ((i = index(name, "_")) > 0) { name = substr(name, i + 1); if (name != "") { print name; print "_" name } } }' |
    sort -u >"$known"
for page in $pages; do
    {
        quoted "$page" | grep -E '^(quince_[a-z0-9_]+|Quince[A-Z][A-Za-z0-9]*|_[a-z0-9_]+|[A-Z][A-Z0-9]*(_[A-Z0-9]+)+)$' |
            grep -vE '^(QuinceNoun|quince_noun_verb|QUINCE_NOUN_[A-Z_]+)$'
        grep -oE '\btest_[a-z0-9_]+\b' "$page"
    } | sort -u >"$named" || true
    for name in $(comm -23 "$named" "$known"); do
        echo "check-docs: $page names $name, which is not there" >&2
        status=1
    done
done
exit $status
