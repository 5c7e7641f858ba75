#!/usr/bin/env bash
# Measures the processor time and memory of idle node processes on loopback.
# Usage: tools/idle_nodes.sh [number of nodes, 3 by default] [seconds, 20 by default]
set -euo pipefail
cd "$(dirname "$0")/.."
nodes="${1:-3}"
seconds="${2:-20}"
cargo build --release --locked -p arbutuslane_node
folder="$(mktemp -d)"
pids=()
clean_up() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap clean_up EXIT
echo secret >"$folder/token"
echo '{"revision": 1, "group_version": 0, "groups": [], "entries": []}' >"$folder/catalogue.json"
node_host() { echo "127.77.$(($1 / 250 + 1)).$(($1 % 250 + 1))"; }
for ((node = 0; node < nodes; node++)); do
    host="$(node_host "$node")"
    cat >"$folder/$node.json" <<JSON
{"node": "node-$node", "domain": "d", "callers": "$host:8000", "peers": "$host:8001",
 "admin": "$host:8002", "token_file": "$folder/token", "seeds": ["$(node_host 0):8001"],
 "catalogue_file": "$folder/catalogue.json", "traffic_threads": 1}
JSON
    target/release/arbutuslane-node "$folder/$node.json" 2>"$folder/$node.log" &
    pids+=("$!")
done
sleep 10
# Prints the processor time that all nodes have used, in clock ticks.
cpu_ticks() {
    local sum=0 pid
    for pid in "${pids[@]}"; do
        sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo "$sum"
}
ticks_before="$(cpu_ticks)"
sleep "$seconds"
ticks_after="$(cpu_ticks)"
resident_kib=0
for pid in "${pids[@]}"; do
    resident_kib=$((resident_kib + $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")))
done
ticks_per_second="$(getconf CLK_TCK)"
echo "nodes: $nodes"
echo "processor time per node: $(awk -v t=$((ticks_after - ticks_before)) -v n="$nodes" -v s="$seconds" \
    -v h="$ticks_per_second" 'BEGIN {printf "%.3f%% of a core", 100 * t / h / n / s}')"
echo "resident memory per node: $((resident_kib / nodes)) KiB"
