#!/usr/bin/env bash
# The stand-ins need only the standard library of Python; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
