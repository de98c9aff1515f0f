#!/usr/bin/env bash
# Measures both deployments on loopback and prints one line of JSON.
# Usage: bench.sh [--quick] [--network N] [--port-base P] [--hosts N]
# Each routing policy has a fleet of its own; a quick run measures one deployment.
set -u
cd "$(dirname "$0")/.." || exit 1
export PATH="$PWD/.venv/bin:$PATH"
if [ "${1:-}" = "hold" ]; then
    # Keeps a deployment up until the file "stop" appears, for ten minutes at most.
    for _ in $(seq 3000); do
        [ -e "$2/stop" ] && exit 0
        sleep 0.2
    done
    exit 1
fi
command="make bench"
quick=()
network=30
port_base=21000
hosts=
while [ $# -gt 0 ]; do
    case $1 in
    --quick) quick=(--quick) command="make bench QUICK=1" ;;
    --network) network=$2 && shift ;;
    --port-base) port_base=$2 && shift ;;
    --hosts) hosts=$2 && shift ;;
    *) echo "bench.sh: unknown option $1" >&2 && exit 2 ;;
    esac
    shift
done
: "${hosts:=$([ ${#quick[@]} -gt 0 ] && echo 6 || echo 14)}"
policies=(least_wait random two_choices)
examples=(binders siam-chainlube)
work=$(mktemp -d)
fleets=()

stop_fleets() {
    for policy in "${policies[@]}"; do
        [ -d "$work/fleets/$policy" ] && touch "$work/fleets/$policy/stop"
    done
    [ ${#fleets[@]} -eq 0 ] || wait "${fleets[@]}"
    fleets=()
}
trap 'stop_fleets; rm -rf "$work"' EXIT

prepare_fleets() {
    local number=0 jobs=()
    for policy in "${policies[@]}"; do
        python -m crocusward.devtools.deployment "examples/$1" \
            "$work/fleets/$policy" --hosts "$hosts" --policy "$policy" \
            --network $((network + number)) --port-base "$port_base" \
            --mean-ms 75 --rate-factor 20 &
        jobs+=($!)
        number=$((number + 1))
    done
    wait "${jobs[@]}"
}

start_fleets() {
    for policy in "${policies[@]}"; do
        bash scripts/with-deployment.sh "$work/fleets/$policy" \
            bash scripts/bench.sh hold "$work/fleets/$policy" >&2 &
        fleets+=($!)
    done
    for policy in "${policies[@]}"; do
        for _ in $(seq 100); do
            [ "$(grep -c . "$work/fleets/$policy/pids" 2>/dev/null)" = "$hosts" ] && break
            sleep 0.1
        done
    done
}

for example in "${examples[@]}"; do
    [ ${#quick[@]} -gt 0 ] && [ "$example" != "${examples[0]}" ] && continue
    echo "measuring $example with $hosts entry hosts for each policy" >&2
    prepare_fleets "$example"
    start_fleets
    python -m crocusward.devtools.bench measure "$work/fleets" \
        "$work/$example.json" "${quick[@]}" >&2
    stop_fleets
    rm -rf "$work/fleets"
done
outputs=()
for example in "${examples[@]}"; do outputs+=("$work/$example.json"); done
python -m crocusward.devtools.bench report "${outputs[@]}" --command "$command" "${quick[@]}"
