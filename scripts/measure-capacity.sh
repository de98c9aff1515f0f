#!/usr/bin/env bash
# Measures prepared deployments one after another, then prints the report.
# Usage: measure-capacity.sh DIRECTORY quick|full CASE...
# The directory is removed at the end.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$1
mode=$2
shift 2
trap 'rm -rf "$dir"' EXIT
failed=0
for name in "$@"; do
    echo "measuring $name" >&2
    "$root/scripts/with-deployment.sh" "$dir/$name" \
        python -m crocusward.devtools.capacity.live "$dir/$name" \
        >>"$dir/results.jsonl" || {
        echo "$name failed" >&2
        failed=1
    }
done
echo "measuring parts in one process" >&2
"$root/.venv/bin/python" -m crocusward.devtools.capacity.report "$dir" --mode "$mode" ||
    failed=1
exit $failed
