#!/bin/sh
# Prints the C files that people write (not the generated ones).
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.c' '*.h' | grep -v '/generated/'
