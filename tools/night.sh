#!/usr/bin/env bash
# Runs a fleet of real processes on loopback under load, injects scripted faults and checks counts.
#
#   tools/night.sh [--script FILE] [--out FOLDER] [--keep]
#
#   --script FILE  the fault script (default examples/night/night.json), which holds the seed
#   --out FOLDER   folder for the results, plot and timeline (default a new temporary folder)
#   --keep         keep the folder with settings, logs and records
#
# The exit code is not zero when a count exceeds its bound. The script stops the processes that it
# started by their process id.
set -euo pipefail
cd "$(dirname "$0")/.."

script=examples/night/night.json out="" keep_files=no
while (($#)); do
    case $1 in
        --script) script=$2; shift 2 ;;
        --out) out=$2; shift 2 ;;
        --keep) keep_files=yes; shift ;;
        *) sed -n '2,11p' "$0"; exit 2 ;;
    esac
done

readonly services="slots:10 bookings:20 reports:6 vitrine:12 agenda:12 archives:6"
readonly hosts=(haalestusmeister.example jasmin.example)
work_dir=$(mktemp -d "${TMPDIR:-/tmp}/arbutuslane-night.XXXXXX")
[[ -n $out ]] || out=$(mktemp -d "${TMPDIR:-/tmp}/arbutuslane-night-results.XXXXXX")
mkdir -p "$out"
declare -A pid_of=()
port_reservation=""

print_heading() { printf '\n== %s\n' "$*"; }
now_ms() { date +%s%3N; }

source tools/fleet.sh

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
  "stop_ms": 20000, "seed": $((seed + node)) }
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

start_node() { start_process "node-$1" "$bin_dir/arbutuslane-node" "$work_dir/node-$1.json"; }
start_control() { start_process "control-$1" "$bin_dir/arbutuslane-control" --settings "$work_dir/control-$1.json"; }

declare -A server_arguments=()
server_names=()
# Sets the names and arguments of all backend servers and creates their empty record files.
prepare_servers() {
    local pair service first_node number offset order seed_offset=1
    for pair in $services; do
        service=${pair%:*}
        # The servers of each caller run in the three failure domains of its region.
        case $service in slots | bookings | reports) first_node=0 ;; *) first_node=3 ;; esac
        for number in $(seq "${pair#*:}"); do
            order=""
            for offset in 0 1 2; do order+=" --node $(admin_address $((first_node + (number + offset) % 3)))"; done
            server_arguments[$service-$number]="--service $service --server $service-$number --seed $((seed + seed_offset)) --service-ms 20 --record $work_dir/runs-$service-$number.jsonl$order"
            : > "$work_dir/runs-$service-$number.jsonl"
            seed_offset=$((seed_offset + 1))
            server_names+=("$service-$number")
        done
    done
}
start_server() {
    rm -f "$work_dir/$1.out"
    # The arguments are split at spaces; none of them contains a space itself.
    # shellcheck disable=SC2086
    start_process "$1" "$bin_dir/arbutuslane-standin" backend ${server_arguments[$1]}
}
server_address() { head -n 1 "$work_dir/$1.out"; }
server_listens() { [[ -s $work_dir/$1.out ]]; }
all_servers_listen() { local name; for name in "${server_names[@]}"; do server_listens "$name" || return 1; done; }
# Succeeds if a node answers requests for all of the given paths.
node_serves_paths() { # node_serves_paths HOST NODE PATH...
    local host=$1 node=$2 path
    shift 2
    for path in "$@"; do http_get -o /dev/null -H "host: $host" "http://$(caller_address "$node")$path" || return 1; done
}
# Succeeds if a node answers requests of every class for both callers.
node_serves() {
    node_serves_paths haalestusmeister.example "$1" /slots /bookings/list /download/a/9 \
        && node_serves_paths jasmin.example "$1" /vitrine /agenda/free /download/a/9
}

# Records the status of all nodes about once a second; a node that does not respond
# is left out of the sample.
sample_statuses() {
    local at_ms node
    while :; do
        at_ms=$(now_ms)
        for node in 0 1 2 3 4 5; do
            http_get "http://$(admin_address "$node")/v1/status" > "$work_dir/sample-$node" || : > "$work_dir/sample-$node" &
        done
        wait
        for node in 0 1 2 3 4 5; do
            if [[ -s $work_dir/sample-$node ]]; then
                printf '{"at_ms":%s,"status":%s}\n' "$at_ms" "$(cat "$work_dir/sample-$node")" >> "$work_dir/status.jsonl"
            fi
        done
        sleep 0.9
    done
}

# Prints the name of the control instance that leads.
current_leader() {
    local control
    for control in 0 1 2; do
        http_get -H "authorization: Bearer $(cat "$work_dir/operator.token")" "http://$(operator_address "$control")/v1/status" \
            | grep -o '"leader":"[^"]*"' | cut -d'"' -f4 && return
    done
    return 1
}

change_number=0 catalogue_revision=0
# Applies a catalogue change that raises a limit of one service, so that each change differs.
apply_catalogue_change() {
    change_number=$((change_number + 1))
    local id="night-$seed-$change_number"
    sed "0,/\"body_bytes\": [0-9]*/s//\"body_bytes\": $((70000 + change_number))/" \
        examples/catalogue/haalestusmeister.json > "$work_dir/catalogue/haalestusmeister.json"
    # While a control instance is down, the exit code is "partial" although the change is applied.
    cli catalogue apply --base "$catalogue_revision" --change-id "$id" --wait --timeout 30 "$work_dir/catalogue" \
        > "$work_dir/apply-$change_number.out" 2>&1 || true
    cat "$work_dir/apply-$change_number.out"
    local accepted
    accepted=$(sed -n 's/^accepted as revision \([0-9]*\) .*/\1/p' "$work_dir/apply-$change_number.out")
    [[ -n $accepted ]] || return 0
    catalogue_revision=$accepted
    printf '{"change_id":"%s","revision":%s}\n' "$id" "$catalogue_revision" >> "$work_dir/changes.jsonl"
}

# Sends requests that crash their servers through nodes 3 and 4 in turn, as a caller that resends a
# failed request would.
send_crash_requests() { # send_crash_requests HOST PATH TIMES
    local host=$1 path=$2 times=$3 attempt node at_ms response status outcome
    for attempt in $(seq "$times"); do
        node=$((3 + attempt % 2))
        at_ms=$(now_ms)
        response=$(curl --silent --max-time 6 -o /dev/null -X POST -d "crash" -H "host: $host" \
            -H "standin-crash: 1" -H "standin-request: crash-$attempt" "http://$(caller_address $node)$path" \
            -w "%{http_code} %header{arbutuslane-outcome}") || true
        read -r status outcome <<< "$response"
        echo "crash-$attempt through node-$node: $response"
        printf '{"at_ms":%s,"took_ms":%s,"kind":"crash","request":"crash-%s","key":null,"node":"node-%s","ending":"%s","status":%s,"fit":"own"}\n' \
            "$at_ms" $(($(now_ms) - at_ms)) "$attempt" "$node" "${outcome:-unanswered}" "$((10#${status:-0}))" \
            >> "$work_dir/attempts-crash.jsonl"
        sleep 0.2
        restart_exited_servers
    done
}

# Restarts servers whose process has exited, as a supervisor would.
restart_exited_servers() {
    local name
    for name in "${server_names[@]}"; do
        [[ -n ${pid_of[$name]:-} ]] || continue
        kill -0 "${pid_of[$name]}" 2> /dev/null && continue
        stop_process "$name" KILL
        echo "$name has exited; restarting it"
        start_server "$name"
    done
}

# Sends SIGTERM and waits until the process has finished its graceful shutdown.
stop_gracefully() { # stop_gracefully NAME
    stop_process "$1" TERM
}

# Restarts all nodes one after the other, then the servers in four batches.
rolling_restart() {
    local node remainder name batch
    for node in 0 1 2 3 4 5; do
        stop_gracefully "node-$node"
        start_node "$node"
        wait_until "node-$node answers requests again" node_serves "$node"
    done
    # Each batch holds the servers whose numbers have the same remainder modulo 4, which is at
    # most a third of each service's servers.
    for remainder in 0 1 2 3; do
        batch=()
        for name in "${server_names[@]}"; do
            [[ $name != "$departed_server" && $((${name##*-} % 4)) == "$remainder" ]] && batch+=("$name")
        done
        for name in "${batch[@]}"; do kill -TERM "${pid_of[$name]}"; done
        for name in "${batch[@]}"; do stop_gracefully "$name"; start_server "$name"; done
        for name in "${batch[@]}"; do wait_until "$name listens" server_listens "$name"; done
        # The servers receive their full share of requests after a ramp-up of 5 s.
        sleep 6
    done
}

departed_server=""
# Carries out a step of the fault script.
run_step() { # run_step ACTION ARGUMENT...
    case $1 in
        faults) http_get -X POST -d "$3" "http://$(server_address "$2")/standin/faults" > /dev/null ;;
        leave)
            departed_server=$2
            http_get -X POST "http://$(server_address "$2")/standin/drain" > /dev/null
            http_get -X POST "http://$(server_address "$2")/standin/leave" > /dev/null
            ;;
        kill-node) stop_process "$2" KILL ;;
        start-node) start_node "${2#node-}" ;;
        kill-leader)
            killed_control=$(current_leader)
            echo "the leader is $killed_control"
            stop_process "$killed_control" KILL
            ;;
        start-control) start_control "${killed_control#control-}" ;;
        change) apply_catalogue_change ;;
        crash-request) send_crash_requests "$2" "$3" "$4" ;;
        rolling-restart) rolling_restart ;;
        *) echo "unknown action in the fault script: $1" >&2; exit 1 ;;
    esac
}

start_caller() { # start_caller NAME HOST LOOKUPS BOOKINGS SEED NODE...
    local name=$1 host=$2 lookups=$3 bookings=$4 caller_seed=$5 nodes=() node
    shift 5
    for node in "$@"; do nodes+=(--node "$(caller_address "$node")"); done
    : > "$work_dir/attempts-$name.jsonl"
    start_process "$name" "$bin_dir/arbutuslane-standin" caller "${nodes[@]}" --host "$host" \
        --lookup-path "$lookups" --booking-path "$bookings" --lookups 6 --bookings 3 --downloads 1 \
        --download-bytes 200000 --rate "$rate" --seconds "$seconds" --seed "$caller_seed" \
        --resends 4 --record "$work_dir/attempts-$name.jsonl"
}

print_heading "build the binaries"
cargo build --locked --quiet --workspace --bins
bin_dir=$PWD/target/debug
cli() { "$bin_dir/arbutuslane" --settings "$work_dir/arbutuslane.json" "$@"; }
"$bin_dir/arbutuslane-bench" night plan "$script" > "$work_dir/plan"
IFS=$'\t' read -r seed seconds rate < "$work_dir/plan"

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
prepare_servers
mkdir "$work_dir/catalogue"
cp examples/catalogue/*.json "$work_dir/catalogue"
: > "$work_dir/marks.jsonl"
: > "$work_dir/changes.jsonl"
: > "$work_dir/status.jsonl"

print_heading "start 3 control instances, 6 nodes and ${#server_names[@]} backend servers"
for i in 0 1 2; do start_control "$i"; done
for i in 0 1 2 3 4 5; do start_node "$i"; done
for name in "${server_names[@]}"; do start_server "$name"; done
wait_until "all backend servers listen" all_servers_listen
catalogue_diff_succeeds() { cli catalogue diff "$work_dir/catalogue"; }
wait_until "the control instances have a leader" catalogue_diff_succeeds
apply_catalogue_change
for i in 0 1 2 3 4 5; do wait_until "node-$i answers requests" node_serves "$i"; done
# Waits for the end of the servers' ramp-up.
sleep 6

print_heading "send $rate requests per second from each of four callers for $seconds s"
start_process sampler sample_statuses
# `exec` replaces the shell, so that the recorded id is that of the arbutuslane process.
follow_timeline() { exec "$bin_dir/arbutuslane" --settings "$work_dir/arbutuslane.json" --json timeline --follow; }
start_process events follow_timeline
load_start_ms=$(now_ms)
for number in 1 2; do
    start_caller "ee-$number" "${hosts[0]}" /slots /bookings "$((seed * 10 + number))" 0 1 2 3 4 5
    start_caller "tn-$number" "${hosts[1]}" /vitrine /agenda "$((seed * 10 + 2 + number))" 3 4 5 0 1 2
done
while IFS=$'\t' read -r -u 9 step at_s action arg1 arg2 arg3; do
    while (($(now_ms) < load_start_ms + at_s * 1000)); do sleep 0.1; restart_exited_servers; done
    echo "$at_s s: $action $arg1"
    at_ms=$(now_ms)
    run_step "$action" "$arg1" "$arg2" "$arg3"
    printf '{"step":%s,"at_ms":%s,"end_ms":%s}\n' "$step" "$at_ms" "$(now_ms)" >> "$work_dir/marks.jsonl"
done 9< <(tail -n +2 "$work_dir/plan")
for name in ee-1 ee-2 tn-1 tn-2; do
    wait "${pid_of[$name]}"
    unset "pid_of[$name]"
    cat "$work_dir/$name.out"
done
sleep 3
stop_process sampler KILL
stop_process events KILL
mv "$work_dir/events.out" "$work_dir/events.jsonl"
for control in 0 1 2; do
    http_get -H "authorization: Bearer $(cat "$work_dir/operator.token")" "http://$(operator_address "$control")/v1/history" \
        > "$work_dir/history-$control.jsonl"
done

print_heading "check the counts"
"$bin_dir/arbutuslane-bench" night count "$script" "$work_dir" \
    --out "$out/results.json" --svg "$out/night.svg" --timeline "$out/timeline.txt"
