#!/usr/bin/env bash
# Starts a prepared deployment, runs a command, and stops everything again.
# Usage: with-deployment.sh DIRECTORY COMMAND [ARGUMENT...]
set -u
dir=$1
shift
bin=$(cd "$(dirname "$0")/../.venv/bin" && pwd)
export PATH="$bin:$PATH"
. "$dir/environment"
standins=()
daemons=()

stop_all() {
    [ ${#daemons[@]} -eq 0 ] || kill -TERM "${daemons[@]}" 2>/dev/null
    for pid in "${daemons[@]}"; do wait "$pid" 2>/dev/null; done
    [ ${#standins[@]} -eq 0 ] || kill -TERM "${standins[@]}" 2>/dev/null
    wait
}
trap stop_all EXIT

while read -r line; do
    $line >>"$dir/standins.log" 2>&1 &
    standins+=($!)
done <"$dir/standins.txt"
sleep 1
while read -r line; do
    name=$(basename "${line##* }" .toml)
    $line >>"$dir/$name.log" 2>&1 &
    daemons+=($!)
    echo "$name $!" >>"$dir/pids"
done <"$dir/daemons.txt"
"$@"
