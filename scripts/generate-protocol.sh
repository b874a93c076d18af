#!/bin/sh
# Regenerates the committed XDR code.  Only needed when an .x file changes.
set -eu
cd "$(dirname "$0")/.."

# rpcgen decodes any number as an enum; RFC 4506 allows only those declared.  The numbers of an enum follow each
# other, from whatever first one, so that one comparison refuses all others; an enum with a gap between its
# numbers fails here.  A union refuses a kind that has no arm, too.
check_enums() {
  awk '
    function fail (text) { print text > "/dev/stderr"; failed = 1; exit 1 }
    FNR == NR && /^enum / { name = $2 }
    FNR == NR && name != "" { line = $0; sub (/\/\*.*/, "", line)
                              while (match (line, /[A-Z][A-Z0-9_]* *= *[0-9]+/)) {
                                split (substr (line, RSTART, RLENGTH), pair, / *= */)
                                if (!(name in first)) first[name] = pair[1]
                                else if (pair[2] != number[name] + 1) fail (name ": a gap before " pair[1])
                                last[name] = pair[1]; number[name] = pair[2]
                                line = substr (line, RSTART + RLENGTH) } }
    FNR == NR { if (/}/) name = ""; next }
    /^xdr_/ { current = $1; sub (/^xdr_/, "", current) }
    /xdr_enum \(xdrs/ { sub (/objp\)\)$/, "objp) || (u_int) *objp - " first[current] " > " last[current] " - " first[current] ")") }
    { print }
    END { exit failed }' "$1" "$2" >"$2.checked"
  mv "$2.checked" "$2"
}

# generate FOLDER NAME: FOLDER/NAME.x to FOLDER/generated/NAME.h and NAME_xdr.c
generate() (
  cd "$1"
  mkdir -p generated
  cp "$2.x" generated/
  cd generated
  rm -f "$2.h" "$2_xdr.c"
  rpcgen -N -C -h -o "$2.h" "$2.x"
  rpcgen -C -c -o "$2_xdr.c" "$2.x"
  check_enums "$2.x" "$2_xdr.c"
  rm "$2.x"
)

generate lib/protocol quince_protocol
