#!/usr/bin/env bash
# Measures processor time and memory of idle node processes on loopback.
# Usage: tools/idle_nodes.sh [number of nodes, 3 by default] [seconds, 20 by default]
set -euo pipefail
cd "$(dirname "$0")/.."
nodes="${1:-3}"
seconds="${2:-20}"
cargo build --release --locked -p arbutuslane_node
folder="$(mktemp -d)"
ids=()
finish() {
    for id in "${ids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap finish EXIT
echo secret >"$folder/token"
echo '{"revision": 1, "group_version": 0, "groups": [], "entries": []}' >"$folder/catalogue.json"
host() { echo "127.77.$(($1 / 250 + 1)).$(($1 % 250 + 1))"; }
for ((node = 0; node < nodes; node++)); do
    address="$(host "$node")"
    cat >"$folder/$node.json" <<JSON
{"node": "node-$node", "domain": "d", "callers": "$address:8000", "peers": "$address:8001",
 "admin": "$address:8002", "token_file": "$folder/token", "seeds": ["$(host 0):8001"],
 "catalogue_file": "$folder/catalogue.json", "traffic_threads": 1}
JSON
    target/release/arbutuslane-node "$folder/$node.json" 2>"$folder/$node.log" &
    ids+=("$!")
done
sleep 10
ticks() {
    local sum=0 id
    for id in "${ids[@]}"; do
        sum=$((sum + $(awk '{print $14 + $15}' "/proc/$id/stat")))
    done
    echo "$sum"
}
before="$(ticks)"
sleep "$seconds"
after="$(ticks)"
resident=0
for id in "${ids[@]}"; do
    resident=$((resident + $(awk '/^VmRSS/ {print $2}' "/proc/$id/status")))
done
hertz="$(getconf CLK_TCK)"
echo "nodes: $nodes"
echo "processor time a node: $(awk -v t=$((after - before)) -v n="$nodes" -v s="$seconds" \
    -v h="$hertz" 'BEGIN {printf "%.3f%% of a core", 100 * t / h / n / s}')"
echo "resident memory a node: $((resident / nodes)) KiB"
