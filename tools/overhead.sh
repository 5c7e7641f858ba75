#!/usr/bin/env bash
# Measures latency and processor time of requests through one node and through two nodes, and sends
# direct requests in the same run for comparison.
# Usage: tools/overhead.sh [requests per second on each path] [seconds] [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-500} seconds=${2:-10} seed=${3:-1}
cargo build --release --locked -q -p arbutuslane_node -p arbutuslane_standin
# Set NODE to the path of another node binary to compare versions.
node=${NODE:-target/release/arbutuslane-node}
standin=target/release/arbutuslane-standin
folder=$(mktemp -d -p target overhead.XXXXXX)
pids=()
clean_up() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$folder"
}
trap clean_up EXIT

echo secret > "$folder/token"
cat > "$folder/catalogue.json" <<JSON
{"revision": 1, "group_version": 0, "groups": [], "entries": [
  {"service": "slots", "owner": "o", "class": "idempotent", "preference": "fast-detection",
   "floor": 1, "routes": [{"path_prefix": "/slots"}],
   "limits": {"caller_rate": 1000000, "route_rate": 1000000, "service_rate": 1000000}}]}
JSON
# The entry (127.0.0.2) owns no server; the owner (127.0.0.3) owns the only one.
for name in entry owner; do
    case $name in entry) host=127.0.0.2 ;; owner) host=127.0.0.3 ;; esac
    cat > "$folder/$name.json" <<JSON
{"node": "$name", "domain": "d", "callers": "$host:8000", "peers": "$host:8001",
 "admin": "$host:8002", "token_file": "$folder/token", "traffic_threads": 1,
 "catalogue_file": "$folder/catalogue.json", "seeds": ["127.0.0.2:8001", "127.0.0.3:8001"]}
JSON
    "$node" "$folder/$name.json" 2> "$folder/$name.log" &
    pids+=($!)
done
entry_pid=${pids[0]} owner_pid=${pids[1]}
"$standin" backend --listen 127.0.0.4:8000 --node 127.0.0.3:8002 --slots 64 --queue 64 \
    --service-ms 0 --spread 0 --seed "$seed" > /dev/null 2> "$folder/backend.log" &
pids+=($!)
sleep 3

# Prints the processor time of a process in clock ticks, which are hundredths of a second.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Runs a caller that sends no bookings, and writes its summary to a file.
run_load() { # run_load ADDRESS RATE MAX_IN_FLIGHT FILE
    "$standin" caller --node "$1" --rate "$2" --seconds "$seconds" --bookings 0 \
        --in-flight "${3:-512}" --seed "$seed" > "$folder/$4"
}

echo "machine: $(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg); rate $rate/s per path, $seconds s, seed $seed"
entry_ticks_before=$(cpu_ticks "$entry_pid") owner_ticks_before=$(cpu_ticks "$owner_pid")
run_load 127.0.0.4:8000 "$rate" 512 direct & direct_pid=$!
run_load 127.0.0.3:8000 "$rate" 512 one-node & one_node_pid=$!
run_load 127.0.0.2:8000 "$rate" 512 two-nodes & two_nodes_pid=$!
wait "$direct_pid" "$one_node_pid" "$two_nodes_pid"
for path in direct one-node two-nodes; do echo "$path: $(cat "$folder/$path")"; done
echo "processor time: entry $(($(cpu_ticks "$entry_pid") - entry_ticks_before))0 ms, owner $(($(cpu_ticks "$owner_pid") - owner_ticks_before))0 ms"

# Loads one traffic thread to its limit. The number of requests in flight is bounded, so the caller
# drops the requests that exceed it.
for path in one-node two-nodes; do
    case $path in one-node) address=127.0.0.3:8000 ;; two-nodes) address=127.0.0.2:8000 ;; esac
    entry_ticks_before=$(cpu_ticks "$entry_pid") owner_ticks_before=$(cpu_ticks "$owner_pid")
    run_load "$address" 40000 32 "$path-limit"
    echo "$path at its limit: $(cat "$folder/$path-limit")"
    echo "processor time: entry $(($(cpu_ticks "$entry_pid") - entry_ticks_before))0 ms, owner $(($(cpu_ticks "$owner_pid") - owner_ticks_before))0 ms"
done
