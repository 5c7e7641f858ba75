#!/usr/bin/env bash
# Measures what a request costs through one node and through two, beside a direct call, in one run.
# Usage: tools/overhead.sh [requests a second of each path] [seconds] [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-500} seconds=${2:-10} seed=${3:-1}
cargo build --release --locked -q -p arbutuslane_node -p arbutuslane_standin
# NODE names another build of the node, to compare versions.
node=${NODE:-target/release/arbutuslane-node}
standin=target/release/arbutuslane-standin
folder=$(mktemp -d -p target overhead.XXXXXX)
processes=()
finish() {
    for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
    wait
    rm -rf "$folder"
}
trap finish EXIT

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
    processes+=($!)
done
entry=${processes[0]} owner=${processes[1]}
"$standin" backend --listen 127.0.0.4:8000 --node 127.0.0.3:8002 --slots 64 --queue 64 \
    --service-ms 0 --spread 0 --seed "$seed" > /dev/null 2> "$folder/backend.log" &
processes+=($!)
sleep 3

# Prints the processor time of a process in hundredths of a second.
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }

load() {
    "$standin" caller --node "$1" --rate "$2" --seconds "$seconds" --bookings 0 \
        --in-flight "${3:-512}" --seed "$seed" > "$folder/$4"
}

echo "machine: $(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg); rate $rate/s a path, $seconds s, seed $seed"
entry_before=$(cpu "$entry") owner_before=$(cpu "$owner")
load 127.0.0.4:8000 "$rate" 512 direct & first=$!
load 127.0.0.3:8000 "$rate" 512 one-node & second=$!
load 127.0.0.2:8000 "$rate" 512 two-nodes & third=$!
wait "$first" "$second" "$third"
for path in direct one-node two-nodes; do echo "$path: $(cat "$folder/$path")"; done
echo "processor time: entry $(($(cpu "$entry") - entry_before))0 ms, owner $(($(cpu "$owner") - owner_before))0 ms"

# One traffic thread at its limit: requests in flight are bounded, so arrivals above it are dropped.
for path in one-node two-nodes; do
    case $path in one-node) address=127.0.0.3:8000 ;; two-nodes) address=127.0.0.2:8000 ;; esac
    entry_before=$(cpu "$entry") owner_before=$(cpu "$owner")
    load "$address" 40000 32 "$path-limit"
    echo "$path at its limit: $(cat "$folder/$path-limit")"
    echo "processor time: entry $(($(cpu "$entry") - entry_before))0 ms, owner $(($(cpu "$owner") - owner_before))0 ms"
done
