#!/bin/sh
# check-includes.sh: includes point one way; a violation is printed as FILE:LINE with both areas.
#
#   tools, daemons -> platform -> observer -> forward, meta -> http1, batchlog, policy, clients -> runtime
#   -> core -> protocol
#
# An area may include itself and areas of a smaller rank; areas of one rank don't include each other.  The
# rehearsal and the tests may include everything.  A new area needs a rank here.
set -eu
cd "$(dirname "$0")/.."

includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
scripts/sources.sh | grep -E '^(lib|platform|daemons|tools)/' |
    xargs grep -nE '^[[:space:]]*#[[:space:]]*include[[:space:]]*["<]' >"$includes"

awk '
BEGIN {
  split("protocol core/trace core/group core/usage core/routing core/request core/batches core/weights " \
        "core/scaling core/decisions runtime", in_order, " ")
  for (i in in_order)
    rank[in_order[i]] = i + 0
  rank["http1"] = rank["batchlog"] = rank["policy"] = rank["clients"] = 20
  rank["forward"] = rank["meta"] = 30
  rank["observer"] = 40
  rank["platform"] = 50
  rank["daemons/front"] = rank["daemons/replica"] = rank["tools"] = 60
}

function exists(path,    line, found) {
  found = (getline line < path) >= 0
  close(path)
  return found
}

# The area of a path below the root.
function area_of(path,    parts) {
  split(path, parts, "/")
  if (parts[1] == "lib")
    return parts[2] == "core" ? "core/" parts[3] : parts[2]
  return parts[1] == "daemons" ? "daemons/" parts[2] : parts[1]
}

# The area of a header as an include of the file at path names it; "": not found.
function area_of_header(header, path,    folder) {
  folder = path
  sub(/[^\/]*$/, "", folder)
  if (exists(folder header))
    return area_of(path)
  if (exists("lib/" header))
    return area_of("lib/" header)
  if (exists("platform/" header))
    return "platform"
  return exists("lib/protocol/generated/" header) ? "protocol" : ""
}

{
  split($0, fields, ":")
  split($0, quoted, /["<>]/)
  from = area_of(fields[1])
  to = area_of_header(quoted[2], fields[1])
  if (to == "" && index($0, "<") > 0)
    next # of a library
  if (to == "")
    problem = "is not found below the folders that it may be included from"
  else if (!(from in rank) || !(to in rank))
    problem = "joins " from " and " to ", of which one has no rank in check-includes.sh"
  else if (from != to && rank[to] >= rank[from])
    problem = "makes " from " depend on " to
  else
    next
  printf "%s:%s: include of \"%s\" %s\n", fields[1], fields[2], quoted[2], problem
  failed = 1
}

END { exit failed }
' "$includes" >&2 || {
    echo "check-includes: includes against the direction" >&2
    exit 1
}
