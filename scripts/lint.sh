#!/bin/sh
# lint.sh FOLDER: the formatter in check mode, cppcheck, the direction of includes, and names.
set -eu
cd "$(dirname "$0")/.."
scripts/sources.sh | xargs clang-format --dry-run --Werror
scripts/sources.sh | grep '\.c$' | xargs cppcheck --quiet --error-exitcode=1 --inline-suppr \
    --enable=warning,portability --std=c11 -j 4 --library=gtk \
    --suppressions-list=.cppcheck-suppressions -I lib -I lib/protocol/generated
scripts/check-includes.sh
scripts/check-names.sh
scripts/check-docs.sh
echo "lint: clean"
