#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What happens is written to record.txt.
set -u
cd "$(dirname "$0")" || exit 2
python3 -c 'import asyncio, tomllib' || exit 2
exec python3 -B case.py record.txt
