#!/bin/sh
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
[ -d ../../target/deps ] || { echo "target/deps is missing: build first"; exit 2; }
exec python3 case.py  # record.txt
