#!/bin/sh
# variants.sh BENCH SITE DAY [NAME...]: plays a standard day of a site under the variants of variants.txt, one line each.
# A broken rule, a fault or a day that is not played makes the exit status 1.
set -eu
bench=$1
site=$2
day=$3
shift 3
here=$(dirname "$0")
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0
grep -v '^#' "$here/variants.txt" >"$folder/list"
while IFS='|' read -r name expression; do
    name=$(echo "$name" | tr -d ' ')
    if [ $# -gt 0 ]; then
        case " $* " in *" $name "*) ;; *) continue ;; esac
    fi
    mkdir "$folder/$name"
    cp "$(dirname "$site")/wire.json" "$(dirname "$site")/CUT" "$folder/$name/"
    varied="$folder/$name/$(basename "$site")"
    sed "$(printf '%s' "$expression" | sed 's/^ *//')" "$site" >"$varied"
    if cmp -s "$site" "$varied"; then
        echo "$name: nothing of it in this site"
        continue
    fi
    "$bench" run "$varied" "$day" --why "own variants: $name" >"$folder/$name.out" 2>&1 </dev/null || true
    line=$(grep -A1 "^day" "$folder/$name.out" | tail -1 | cut -c1-160)
    [ -n "$line" ] || line="was not played: $(head -3 "$folder/$name.out" | tr '\n' ' ')"
    echo "$name: $line"
    case "$line" in *BROKEN* | *"exits of its own"* | *"not played"*) status=1 ;; esac
done <"$folder/list"
exit $status
