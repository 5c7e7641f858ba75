#!/usr/bin/env bash
# Runs a small fleet on loopback, injects faults and checks the counts of requests and events.
#
#   tools/demo.sh [--fraction F] [--seconds S] [--rate R] [--short] [--keep]
#
#   --fraction F  backend servers as a share of the size in docs/design.md (default 0.3)
#   --seconds S   how long callers send requests (default 24)
#   --rate R      requests per second of each of the two callers (default 150)
#   --short       3 servers per service, and no wait for repaired servers to return to service
#   --keep        keep the folder with settings, logs and results
#
# The folder is temporary and the ports are reserved for this run, so several runs can go on in
# parallel. The script stops the processes that it started by their process id.
set -euo pipefail
cd "$(dirname "$0")/.."

fraction=0.3 seconds=24 rate=150 keep_files=no short=no
while (($#)); do
    case $1 in
        --fraction) fraction=$2; shift 2 ;;
        --seconds) seconds=$2; shift 2 ;;
        --rate) rate=$2; shift 2 ;;
        --short) short=yes fraction=0.1 seconds=18; shift ;;
        --keep) keep_files=yes; shift ;;
        *) sed -n '2,11p' "$0"; exit 2 ;;
    esac
done

readonly services="slots:10 bookings:20 reports:6 vitrine:12 agenda:12 archives:6"
work_dir=$(mktemp -d "${TMPDIR:-/tmp}/arbutuslane-demo.XXXXXX")
declare -A pid_of=()
port_reservation=""
failures=0

print_heading() { printf '\n== %s\n' "$*"; }
# Runs a command and counts a failure if it fails.
check() { # check DESCRIPTION COMMAND...
    local description=$1
    shift
    if "$@"; then
        echo "ok      $description"
    else
        echo "FAILED  $description"
        failures=$((failures + 1))
    fi
}

source tools/fleet.sh

# Scales the number of servers of a service by --fraction, with a minimum of 3.
server_count() { awk -v n="$1" -v f="$fraction" 'BEGIN { c = int(n * f + 0.5); print c < 3 ? 3 : c }'; }
# Computes the floor of a service with the given number of servers.
service_floor() { awk -v n="$1" 'BEGIN { print n - 1 - int(n / 4) }'; }

write_control_settings() {
    local control members=()
    for control in 0 1 2; do
        members+=("{\"name\": \"control-$control\", \"peers\": \"$(control_peer_address "$control")\", \"operators\": \"$(operator_address "$control")\"}")
    done
    members=$(IFS=,; echo "${members[*]}")
    for control in 0 1 2; do
        cat > "$work_dir/control-$control.json" <<JSON
{ "name": "control-$control", "data": "$work_dir/control-$control", "operators": "$(operator_address "$control")",
  "peers": "$(control_peer_address "$control")", "members": [$members],
  "operator_tokens": "$work_dir/operators.tokens", "peer_token": "$work_dir/fleet.token",
  "control_token": "$work_dir/control.token" }
JSON
    done
}

readonly domains=(ee-north-a ee-north-b ee-north-c tunis-a tunis-b tunis-c)

write_node_settings() {
    local node
    for node in 0 1 2 3 4 5; do
        cat > "$work_dir/node-$node.json" <<JSON
{ "node": "node-$node", "domain": "${domains[$node]}", "callers": "$(caller_address "$node")",
  "peers": "$(peer_address "$node")", "admin": "$(admin_address "$node")", "token_file": "$work_dir/fleet.token",
  "seeds": [$(quoted_list "$(peer_address 0)" "$(peer_address 3)")],
  "control": [$(quoted_list "$(control_peer_address 0)" "$(control_peer_address 1)" "$(control_peer_address 2)")],
  "stop_ms": 10000 }
JSON
    done
}

write_operator_settings() {
    cat > "$work_dir/arbutuslane.json" <<JSON
{ "controls": [$(quoted_list "$(operator_address 0)" "$(operator_address 1)" "$(operator_address 2)")],
  "nodes": [$(quoted_list "$(admin_address 0)" "$(admin_address 1)" "$(admin_address 2)" "$(admin_address 3)" "$(admin_address 4)" "$(admin_address 5)")],
  "token_file": "operator.token", "author": "mari" }
JSON
}

# Copies the example catalogue, with floors that suit the number of servers in this run.
write_catalogue() {
    local pair file program=""
    mkdir "$work_dir/catalogue"
    for pair in $services; do
        program+="/\"service\": \"${pair%:*}\"/,/\"floor\"/s/\"floor\": [0-9]*/\"floor\": $(service_floor "$(server_count "${pair#*:}")")/;"
    done
    for file in examples/catalogue/*.json; do
        sed "$program" "$file" > "$work_dir/catalogue/$(basename "$file")"
    done
}

start_node() { start_process "node-$1" "$bin_dir/arbutuslane-node" "$work_dir/node-$1.json"; }

start_servers() {
    local pair service number first_node node order offset seed=1
    for pair in $services; do
        service=${pair%:*}
        # The servers of each caller run in the three failure domains of its region.
        case $service in slots | bookings | reports) first_node=0 ;; *) first_node=3 ;; esac
        for number in $(seq "$(server_count "${pair#*:}")"); do
            order=()
            for offset in 0 1 2; do
                node=$((first_node + (number + offset) % 3))
                order+=(--node "$(admin_address $node)")
            done
            start_process "$service-$number" "$bin_dir/arbutuslane-standin" backend --service "$service" \
                --server "$service-$number" --seed "$seed" --service-ms 20 "${order[@]}"
            seed=$((seed + 1))
            server_names+=("$service-$number")
        done
    done
}

server_address() { head -n 1 "$work_dir/$1.out"; }
all_servers_listen() { local name; for name in "${server_names[@]}"; do [[ -s $work_dir/$name.out ]] || return 1; done; }

# Succeeds if the health endpoint of a node reports that the node is ready.
node_ready() { http_get "http://$(admin_address "$1")/health" > /dev/null; }

# Succeeds if a node answers requests for all of the given paths.
node_serves_paths() { # node_serves_paths HOST NODE PATH...
    local host=$1 node=$2 path
    shift 2
    for path in "$@"; do
        http_get -o /dev/null -H "host: $host" "http://$(caller_address "$node")$path" || return 1
    done
}

start_caller() { # start_caller NAME HOST LOOKUPS BOOKINGS SEED NODE...
    local name=$1 host=$2 lookups=$3 bookings=$4 seed=$5 nodes=() node
    shift 5
    for node in "$@"; do nodes+=(--node "$(caller_address "$node")"); done
    start_process "$name" "$bin_dir/arbutuslane-standin" caller "${nodes[@]}" --host "$host" \
        --lookup-path "$lookups" --booking-path "$bookings" --lookups 6 --bookings 3 \
        --downloads 1 --download-bytes 200000 --rate "$rate" --seconds "$seconds" --seed "$seed"
}

# Prints the value of a number in a JSON summary, or 0 if the key is missing.
json_number() { # json_number KEY FILE
    local value
    value=$(grep -o "\"$1\":[0-9]*" "$2" | head -n 1 | cut -d: -f2 || true)
    echo "${value:-0}"
}
# Prints the number of requests that a server has run.
runs_total() { http_get "http://$(server_address "$1")/standin/runs" | grep -o '"total":[0-9]*' | cut -d: -f2; }

# Prints how often each idempotency key ran, summed over all servers that still respond.
count_runs_by_key() {
    local name
    for name in "${server_names[@]}"; do
        http_get "http://$(server_address "$name")/standin/runs" | grep -o '"key-[^"]*":[0-9]*' || true
    done | awk -F: '{ runs[$1] += $2 } END { for (key in runs) print runs[key], key }'
}

print_heading "build the binaries"
cargo build --locked --quiet --workspace --bins
bin_dir=$PWD/target/debug
cli() { "$bin_dir/arbutuslane" --settings "$work_dir/arbutuslane.json" "$@"; }

reserve_ports
umask 077
random_token() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }
random_token > "$work_dir/operator.token"
random_token > "$work_dir/fleet.token"
random_token > "$work_dir/control.token"
echo "mari $(cat "$work_dir/operator.token")" > "$work_dir/operators.tokens"
write_control_settings
write_node_settings
write_operator_settings
write_catalogue

print_heading "start 3 control instances, 6 nodes and the backend servers (ports $base_port to $((base_port + 99)))"
server_names=()
for i in 0 1 2; do start_process "control-$i" "$bin_dir/arbutuslane-control" --settings "$work_dir/control-$i.json"; done
for i in 0 1 2 3 4 5; do start_node "$i"; done
start_servers
wait_until "all backend servers listen" all_servers_listen
echo "${#server_names[@]} backend servers"

print_heading "apply the catalogue"
cli catalogue check "$work_dir/catalogue"
catalogue_diff_succeeds() { cli catalogue diff "$work_dir/catalogue" > "$work_dir/diff.out"; }
wait_until "the control instances have a leader" catalogue_diff_succeeds
grep -E '^(added|against)' "$work_dir/diff.out"
cli catalogue apply --base 0 --wait --timeout 60 "$work_dir/catalogue" | tee "$work_dir/apply.out"
check "the revision is in force on 3 control instances and 6 nodes" grep -q 'in force on 9 of 9' "$work_dir/apply.out"
for node in 0 1 2 3 4 5; do
    wait_until "node-$node forwards requests for haalestusmeister.example" \
        node_serves_paths haalestusmeister.example "$node" /slots /bookings/list /download/a/9
    wait_until "node-$node forwards requests for jasmin.example" \
        node_serves_paths jasmin.example "$node" /vitrine /agenda/free /download/a/9
done

print_heading "send requests of every class through nodes 0 to 4 for $seconds s"
# Callers don't use node-5: it is killed later, which breaks its connections on purpose.
start_caller caller-ee haalestusmeister.example /slots /bookings 101 0 1 2
start_caller caller-tn jasmin.example /vitrine /agenda 202 3 4

print_heading "inject a fault: vitrine-1 and slots-1 fail all requests but pass health checks"
sleep "$(awk -v s="$seconds" 'BEGIN { print s / 3 }')"
for name in vitrine-1 slots-1; do
    http_get -X POST -d '{"fail": 1.0}' "http://$(server_address $name)/standin/faults" > /dev/null
    check "$name passes its health check" http_get -o /dev/null "http://$(server_address $name)/health"
done

print_heading "inject a fault: kill and restart node-5"
stop_process node-5 KILL
sleep 1
start_node 5
wait_until "node-5 has loaded the catalogue" node_ready 5
wait_until "node-5 forwards requests for jasmin.example" \
    node_serves_paths jasmin.example 5 /vitrine /agenda/free /download/a/9

print_heading "send a booking twice with the same idempotency key, through two nodes"
for node in 0 1; do
    curl --silent --max-time 10 -X POST -d one -o "$work_dir/booking-$node.out" \
        -w "node-$node: status %{http_code} outcome %header{arbutuslane-outcome}\n" \
        -H 'host: haalestusmeister.example' -H 'idempotency-key: key-twice' \
        "http://$(caller_address $node)/bookings"
done

for name in caller-ee caller-tn; do wait "${pid_of[$name]}"; unset "pid_of[$name]"; done

count_events() { cli timeline --since 10m --kind "$1" 2> /dev/null | grep -c . || true; }
# Succeeds if there are at least as many return events as ejection events.
all_ejected_returned() { test "$(count_events return)" -ge "$(count_events ejection)"; }
ejected_servers() { cli timeline --since 10m --kind ejection 2> /dev/null | grep -o 'server=[^ ]*' | sort -u | paste -sd,; }
only_failing_ejected() { test "$(ejected_servers)" = server=slots-1,server=vitrine-1; }

print_heading "send more requests until the failing servers are ejected"
# The callers run until the ejections have happened, so that no check depends on the speed of the
# machine.
seconds=300
start_caller caller-ee-later haalestusmeister.example /slots /bookings 303 0 1 2
start_caller caller-tn-later jasmin.example /vitrine /agenda 404 3 4
wait_until "the failing servers are ejected" only_failing_ejected
if [[ $short == no ]]; then
    print_heading "repair the failing servers and wait until trial requests return them to service"
    for name in vitrine-1 slots-1; do
        http_get -X POST -d '{"fail": 0.0}' "http://$(server_address $name)/standin/faults" > /dev/null
    done
    wait_until "the repaired servers are back in service" all_ejected_returned
fi
for name in caller-ee-later caller-tn-later; do stop_process "$name" KILL; done

print_heading "summaries of the callers"
cat "$work_dir/caller-ee.out" "$work_dir/caller-tn.out"

print_heading "operator commands"
cli status | tee "$work_dir/status.out" || true
cli timeline --since 10m > "$work_dir/timeline.out" 2> "$work_dir/timeline.err" || true
grep -v group-changed "$work_dir/timeline.out" | tail -n 30
head -n 5 "$work_dir/timeline.err"
cli timeline --since 10m --html "$work_dir/timeline.html" || true
cli report --since 10m || true
cli catalogue history

print_heading "check the counts"
for name in caller-ee caller-tn; do
    sent=$(json_number sent "$work_dir/$name.out")
    answered=$(json_number answered "$work_dir/$name.out")
    check "$name sent requests ($sent)" test "$sent" -gt 0
    check "$name received no response to another request" test "$(json_number wrong "$work_dir/$name.out")" = 0
    check "$name received no truncated response" test "$(json_number broken "$work_dir/$name.out")" = 0
    check "$name received responses to at least 95% of its requests ($answered)" test $((answered * 100)) -ge $((sent * 95))
done
count_runs_by_key | sort -rn > "$work_dir/runs.out"
check "bookings ran ($(wc -l < "$work_dir/runs.out") keys)" test -s "$work_dir/runs.out"
check "no key ran twice" test "$(head -n 1 "$work_dir/runs.out" | cut -d' ' -f1)" = 1
check "the booking that was sent twice ran once" grep -qx '1 "key-twice"' "$work_dir/runs.out"

check "both copies of the booking received the same response" cmp -s "$work_dir/booking-0.out" "$work_dir/booking-1.out"
check "the failing servers were ejected, and no other" only_failing_ejected
[[ $short == yes ]] || check "the repaired servers returned to service" all_ejected_returned
check "no service is below its floor" bash -c '! grep -q "below its floor" "$1"' - "$work_dir/status.out"

print_heading "stop all nodes, servers and control instances gracefully"
for name in "${server_names[@]}"; do kill -TERM "${pid_of[$name]}"; done
for name in "${server_names[@]}"; do stop_process "$name" TERM; done
for i in 0 1 2 3 4 5; do kill -TERM "${pid_of[node-$i]}"; done
for i in 0 1 2 3 4 5; do stop_process "node-$i" TERM; done
for i in 0 1 2; do stop_process "control-$i" TERM; done

if ((failures)); then
    echo "$failures checks failed"
    exit 1
fi
echo "all checks passed"
