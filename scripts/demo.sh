#!/usr/bin/env bash
# Starts the binders' deployment on loopback with fewer hosts, sends load, takes a
# data centre out and back, and prints what happened.
set -u
cd "$(dirname "$0")/.." || exit 1
if [ "${1:-}" = "drive" ]; then
    dir=$2
    # The first change needs contact with most hosts of each region.
    for _ in $(seq 40); do
        crocusward contract apply "$dir/topology.toml" >"$dir/apply.log" 2>&1 && break
        sleep 0.2
    done
    crocusward contract apply "$dir/contracts.toml" >>"$dir/apply.log" 2>&1 ||
        cat "$dir/apply.log"
    python -m crocusward.devtools.demo "$dir" --duration 18 &
    load=$!
    sleep 6
    echo "taking data centre tallinn-a out"
    crocusward data-centre out tallinn-a
    sleep 5
    echo "taking data centre tallinn-a back"
    crocusward data-centre back tallinn-a
    wait "$load"
    exit $?
fi
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
.venv/bin/python -m crocusward.devtools.deployment examples/binders "$dir" --hosts 6 \
    --rate-factor 4
bash scripts/with-deployment.sh "$dir" bash scripts/demo.sh drive "$dir"
