#!/usr/bin/env bash
# Runs a night on real processes on loopback: carries out a fault script under load and counts.
#
#   tools/night.sh [--script FILE] [--out FOLDER] [--keep]
#
#   --script FILE  the fault script (default examples/night/night.json), which holds the seed
#   --out FOLDER   where the results, plot and timeline go (default a new temporary folder)
#   --keep         keeps the folder with settings, logs and records
#
# The exit code is not zero when a count exceeds its bound. All processes that the script started
# are stopped by their id.
set -euo pipefail
cd "$(dirname "$0")/.."

script=examples/night/night.json out="" keep=no
while (($#)); do
    case $1 in
        --script) script=$2; shift 2 ;;
        --out) out=$2; shift 2 ;;
        --keep) keep=yes; shift ;;
        *) sed -n '2,11p' "$0"; exit 2 ;;
    esac
done

readonly services="slots:10 bookings:20 reports:6 vitrine:12 agenda:12 archives:6"
readonly hosts=(haalestusmeister.example jasmin.example)
work=$(mktemp -d "${TMPDIR:-/tmp}/arbutuslane-night.XXXXXX")
[[ -n $out ]] || out=$(mktemp -d "${TMPDIR:-/tmp}/arbutuslane-night-results.XXXXXX")
mkdir -p "$out"
declare -A pid_of=()
reserved=""

say() { printf '\n== %s\n' "$*"; }
now_ms() { date +%s%3N; }

source tools/fleet.sh


control_settings() {
    local i members=()
    for i in 0 1 2; do
        members+=("{\"name\": \"control-$i\", \"peers\": \"$(control_peers "$i")\", \"operators\": \"$(operators "$i")\"}")
    done
    members=$(IFS=,; echo "${members[*]}")
    for i in 0 1 2; do
        cat > "$work/control-$i.json" <<JSON
{ "name": "control-$i", "data": "$work/control-$i", "operators": "$(operators "$i")",
  "peers": "$(control_peers "$i")", "members": [$members],
  "operator_tokens": "$work/operators.tokens", "peer_token": "$work/fleet.token",
  "control_token": "$work/control.token" }
JSON
    done
}

readonly domains=(ee-north-a ee-north-b ee-north-c tunis-a tunis-b tunis-c)

node_settings() {
    local i
    for i in 0 1 2 3 4 5; do
        cat > "$work/node-$i.json" <<JSON
{ "node": "node-$i", "domain": "${domains[$i]}", "callers": "$(callers "$i")",
  "peers": "$(peers "$i")", "admin": "$(admin "$i")", "token_file": "$work/fleet.token",
  "seeds": [$(quoted_list "$(peers 0)" "$(peers 3)")],
  "control": [$(quoted_list "$(control_peers 0)" "$(control_peers 1)" "$(control_peers 2)")],
  "stop_ms": 20000, "seed": $((seed + i)) }
JSON
    done
}

operator_settings() {
    cat > "$work/arbutuslane.json" <<JSON
{ "controls": [$(quoted_list "$(operators 0)" "$(operators 1)" "$(operators 2)")],
  "nodes": [$(quoted_list "$(admin 0)" "$(admin 1)" "$(admin 2)" "$(admin 3)" "$(admin 4)" "$(admin 5)")],
  "token_file": "operator.token", "author": "mari" }
JSON
}

start_node() { start "node-$1" "$bin/arbutuslane-node" "$work/node-$1.json"; }
start_control() { start "control-$1" "$bin/arbutuslane-control" --settings "$work/control-$1.json"; }

declare -A command_of=()
server_names=()
plan_servers() {
    local pair service first i k order number=1
    for pair in $services; do
        service=${pair%:*}
        # Each customer's servers run in the three failure domains of its region.
        case $service in slots | bookings | reports) first=0 ;; *) first=3 ;; esac
        for i in $(seq "${pair#*:}"); do
            order=""
            for k in 0 1 2; do order+=" --node $(admin $((first + (i + k) % 3)))"; done
            command_of[$service-$i]="--service $service --server $service-$i --seed $((seed + number)) --service-ms 20 --record $work/runs-$service-$i.jsonl$order"
            : > "$work/runs-$service-$i.jsonl"
            number=$((number + 1))
            server_names+=("$service-$i")
        done
    done
}
start_server() {
    rm -f "$work/$1.out"
    # The arguments hold no blanks but those that separate them.
    # shellcheck disable=SC2086
    start "$1" "$bin/arbutuslane-standin" backend ${command_of[$1]}
}
server_address() { head -n 1 "$work/$1.out"; }
server_listens() { [[ -s $work/$1.out ]]; }
all_listen() { local name; for name in "${server_names[@]}"; do server_listens "$name" || return 1; done; }
serves() { # serves HOST NODE PATH...: whether node NODE answers requests
    local host=$1 node=$2 path
    shift 2
    for path in "$@"; do get -o /dev/null -H "host: $host" "http://$(callers "$node")$path" || return 1; done
}
node_serves() { serves haalestusmeister.example "$1" /slots /bookings/list /download/a/9 && serves jasmin.example "$1" /vitrine /agenda/free /download/a/9; }

# Asks all nodes for their status once a second; a node that does not answer has no vote.
sample_statuses() {
    local at i
    while :; do
        at=$(now_ms)
        for i in 0 1 2 3 4 5; do
            get "http://$(admin "$i")/v1/status" > "$work/sample-$i" || : > "$work/sample-$i" &
        done
        wait
        for i in 0 1 2 3 4 5; do
            if [[ -s $work/sample-$i ]]; then
                printf '{"at_ms":%s,"status":%s}\n' "$at" "$(cat "$work/sample-$i")" >> "$work/status.jsonl"
            fi
        done
        sleep 0.9
    done
}

leader() {
    local i
    for i in 0 1 2; do
        get -H "authorization: Bearer $(cat "$work/operator.token")" "http://$(operators "$i")/v1/status" \
            | grep -o '"leader":"[^"]*"' | cut -d'"' -f4 && return
    done
    return 1
}

change_number=0 revision=0
# Raises a limit of one service, so that each change has its own content.
change() {
    change_number=$((change_number + 1))
    local id="night-$seed-$change_number"
    sed "0,/\"body_bytes\": [0-9]*/s//\"body_bytes\": $((70000 + change_number))/" \
        examples/catalogue/haalestusmeister.json > "$work/catalogue/haalestusmeister.json"
    # A control instance that is down makes the exit code "partial", although the change is made.
    cli catalogue apply --base "$revision" --change-id "$id" --wait --timeout 30 "$work/catalogue" \
        > "$work/apply-$change_number.out" 2>&1 || true
    cat "$work/apply-$change_number.out"
    local accepted
    accepted=$(sed -n 's/^accepted as revision \([0-9]*\) .*/\1/p' "$work/apply-$change_number.out")
    [[ -n $accepted ]] || return 0
    revision=$accepted
    printf '{"change_id":"%s","revision":%s}\n' "$id" "$revision" >> "$work/changes.jsonl"
}

# Sends a request that crashes its server; the caller sends it again through the next node.
crash_request() {
    local host=$1 path=$2 times=$3 i node at answer status outcome
    for i in $(seq "$times"); do
        node=$((3 + i % 2))
        at=$(now_ms)
        answer=$(curl --silent --max-time 6 -o /dev/null -X POST -d "crash" -H "host: $host" \
            -H "standin-crash: 1" -H "standin-request: crash-$i" "http://$(callers $node)$path" \
            -w "%{http_code} %header{arbutuslane-outcome}") || true
        read -r status outcome <<< "$answer"
        echo "crash-$i through node-$node: $answer"
        printf '{"at_ms":%s,"took_ms":%s,"kind":"crash","request":"crash-%s","key":null,"node":"node-%s","ending":"%s","status":%s,"fit":"own"}\n' \
            "$at" $(($(now_ms) - at)) "$i" "$node" "${outcome:-unanswered}" "$((10#${status:-0}))" \
            >> "$work/attempts-crash.jsonl"
        sleep 0.2
        revive
    done
}

# Starts servers again whose process is gone, as their supervisor would.
revive() {
    local name
    for name in "${server_names[@]}"; do
        [[ -n ${pid_of[$name]:-} ]] || continue
        kill -0 "${pid_of[$name]}" 2> /dev/null && continue
        stop_process "$name" KILL
        echo "$name is gone and starts again"
        start_server "$name"
    done
}

planned_stop() { # planned_stop NAME: the process ends on its own after its planned stop
    stop_process "$1" TERM
}

rolling_restart() {
    local i name names
    for i in 0 1 2 3 4 5; do
        planned_stop "node-$i"
        start_node "$i"
        await "node-$i serves again" node_serves "$i"
    done
    # A third of each service's servers at most: the numbers that share their remainder by 4.
    for i in 0 1 2 3; do
        names=()
        for name in "${server_names[@]}"; do
            [[ $name != "$left" && $((${name##*-} % 4)) == "$i" ]] && names+=("$name")
        done
        for name in "${names[@]}"; do kill -TERM "${pid_of[$name]}"; done
        for name in "${names[@]}"; do planned_stop "$name"; start_server "$name"; done
        for name in "${names[@]}"; do await "$name listens" server_listens "$name"; done
        # The servers take their share again after their ramp-up of 5 s.
        sleep 6
    done
}

left=""
carry_out() { # carry_out VERB ARGUMENT...
    case $1 in
        faults) get -X POST -d "$3" "http://$(server_address "$2")/standin/faults" > /dev/null ;;
        leave)
            left=$2
            get -X POST "http://$(server_address "$2")/standin/drain" > /dev/null
            get -X POST "http://$(server_address "$2")/standin/leave" > /dev/null
            ;;
        kill-node) stop_process "$2" KILL ;;
        start-node) start_node "${2#node-}" ;;
        kill-leader)
            killed_control=$(leader)
            echo "the leader is $killed_control"
            stop_process "$killed_control" KILL
            ;;
        start-control) start_control "${killed_control#control-}" ;;
        change) change ;;
        crash-request) crash_request "$2" "$3" "$4" ;;
        rolling-restart) rolling_restart ;;
        *) echo "unknown step $1" >&2; exit 1 ;;
    esac
}

start_caller() { # start_caller NAME HOST LOOKUPS BOOKINGS SEED NODE...
    local name=$1 host=$2 lookups=$3 bookings=$4 caller_seed=$5 nodes=() node
    shift 5
    for node in "$@"; do nodes+=(--node "$(callers "$node")"); done
    : > "$work/attempts-$name.jsonl"
    start "$name" "$bin/arbutuslane-standin" caller "${nodes[@]}" --host "$host" \
        --lookup-path "$lookups" --booking-path "$bookings" --lookups 6 --bookings 3 --downloads 1 \
        --download-bytes 200000 --rate "$rate" --seconds "$seconds" --seed "$caller_seed" \
        --resends 4 --record "$work/attempts-$name.jsonl"
}

say "build"
cargo build --locked --quiet --workspace --bins
bin=$PWD/target/debug
cli() { "$bin/arbutuslane" --settings "$work/arbutuslane.json" "$@"; }
"$bin/arbutuslane-bench" night plan "$script" > "$work/plan"
IFS=$'\t' read -r seed seconds rate < "$work/plan"

reserve_ports
umask 077
secret() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }
secret > "$work/operator.token"
secret > "$work/fleet.token"
secret > "$work/control.token"
echo "mari $(cat "$work/operator.token")" > "$work/operators.tokens"
control_settings
node_settings
operator_settings
plan_servers
mkdir "$work/catalogue"
cp examples/catalogue/*.json "$work/catalogue"
: > "$work/marks.jsonl"
: > "$work/changes.jsonl"
: > "$work/status.jsonl"

say "start 3 control instances, 6 nodes and ${#server_names[@]} backend servers"
for i in 0 1 2; do start_control "$i"; done
for i in 0 1 2 3 4 5; do start_node "$i"; done
for name in "${server_names[@]}"; do start_server "$name"; done
await "backend servers listen" all_listen
applied() { cli catalogue diff "$work/catalogue"; }
await "a control instance leads" applied
change
for i in 0 1 2 3 4 5; do await "node-$i serves" node_serves "$i"; done
# The servers' ramp-up after their start is over.
sleep 6

say "load of $rate requests a second from each of four callers for $seconds s"
start sampler sample_statuses
# The shell that follows becomes the command line, so that its id ends the right process.
follow() { exec "$bin/arbutuslane" --settings "$work/arbutuslane.json" --json timeline --follow; }
start events follow
started=$(now_ms)
for k in 1 2; do
    start_caller "ee-$k" "${hosts[0]}" /slots /bookings "$((seed * 10 + k))" 0 1 2 3 4 5
    start_caller "tn-$k" "${hosts[1]}" /vitrine /agenda "$((seed * 10 + 2 + k))" 3 4 5 0 1 2
done
while IFS=$'\t' read -r -u 9 step at_s verb a b c; do
    while (($(now_ms) < started + at_s * 1000)); do sleep 0.1; revive; done
    echo "$at_s s: $verb $a"
    at_ms=$(now_ms)
    carry_out "$verb" "$a" "$b" "$c"
    printf '{"step":%s,"at_ms":%s,"end_ms":%s}\n' "$step" "$at_ms" "$(now_ms)" >> "$work/marks.jsonl"
done 9< <(tail -n +2 "$work/plan")
for name in ee-1 ee-2 tn-1 tn-2; do
    wait "${pid_of[$name]}"
    unset "pid_of[$name]"
    cat "$work/$name.out"
done
sleep 3
stop_process sampler KILL
stop_process events KILL
mv "$work/events.out" "$work/events.jsonl"
for i in 0 1 2; do
    get -H "authorization: Bearer $(cat "$work/operator.token")" "http://$(operators "$i")/v1/history" \
        > "$work/history-$i.jsonl"
done

say "counts"
"$bin/arbutuslane-bench" night count "$script" "$work" \
    --out "$out/results.json" --svg "$out/night.svg" --timeline "$out/timeline.txt"
