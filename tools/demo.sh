#!/usr/bin/env bash
# Runs a small fleet on loopback, breaks a part of it and checks the outcome by counts.
#
#   tools/demo.sh [--fraction F] [--seconds S] [--rate R] [--short] [--keep]
#
#   --fraction F  backend servers as a share of the size in docs/design.md (default 0.3)
#   --seconds S   how long callers send requests (default 24)
#   --rate R      requests a second of each of the two callers (default 150)
#   --short       3 servers a service and no wait for the return of repaired servers
#   --keep        keeps the folder with settings, logs and results
#
# The folder is temporary, and the ports come from a block that this run alone has reserved, so
# several runs can go on at a time. All processes that the script started are stopped by their id.
set -euo pipefail
cd "$(dirname "$0")/.."

fraction=0.3 seconds=24 rate=150 keep=no short=no
while (($#)); do
    case $1 in
        --fraction) fraction=$2; shift 2 ;;
        --seconds) seconds=$2; shift 2 ;;
        --rate) rate=$2; shift 2 ;;
        --short) short=yes fraction=0.1 seconds=18; shift ;;
        --keep) keep=yes; shift ;;
        *) sed -n '2,11p' "$0"; exit 2 ;;
    esac
done

readonly services="slots:10 bookings:20 reports:6 vitrine:12 agenda:12 archives:6"
work=$(mktemp -d "${TMPDIR:-/tmp}/arbutuslane-demo.XXXXXX")
declare -A pid_of=()
reserved=""
failures=0

say() { printf '\n== %s\n' "$*"; }
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

servers_of() { awk -v n="$1" -v f="$fraction" 'BEGIN { c = int(n * f + 0.5); print c < 3 ? 3 : c }'; }
floor_of() { awk -v n="$1" 'BEGIN { print n - 1 - int(n / 4) }'; }

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
  "stop_ms": 10000 }
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

# The example catalogue with floors for the number of servers of this run.
demo_catalogue() {
    local pair file program=""
    mkdir "$work/catalogue"
    for pair in $services; do
        program+="/\"service\": \"${pair%:*}\"/,/\"floor\"/s/\"floor\": [0-9]*/\"floor\": $(floor_of "$(servers_of "${pair#*:}")")/;"
    done
    for file in examples/catalogue/*.json; do
        sed "$program" "$file" > "$work/catalogue/$(basename "$file")"
    done
}

start_node() { start "node-$1" "$bin/arbutuslane-node" "$work/node-$1.json"; }

start_servers() {
    local pair service i first node order k seed=1
    for pair in $services; do
        service=${pair%:*}
        # Each customer's servers run in the three failure domains of its region.
        case $service in slots | bookings | reports) first=0 ;; *) first=3 ;; esac
        for i in $(seq "$(servers_of "${pair#*:}")"); do
            order=()
            for k in 0 1 2; do
                node=$((first + (i + k) % 3))
                order+=(--node "$(admin $node)")
            done
            start "$service-$i" "$bin/arbutuslane-standin" backend --service "$service" \
                --server "$service-$i" --seed "$seed" --service-ms 20 "${order[@]}"
            seed=$((seed + 1))
            server_names+=("$service-$i")
        done
    done
}

server_address() { head -n 1 "$work/$1.out"; }
all_have_address() { local name; for name in "${server_names[@]}"; do [[ -s $work/$name.out ]] || return 1; done; }

node_ready() { get "http://$(admin "$1")/health" > /dev/null; }

# Whether requests of every class reach a server through node $1.
serves() {
    local host=$1 node=$2 path
    shift 2
    for path in "$@"; do
        get -o /dev/null -H "host: $host" "http://$(callers "$node")$path" || return 1
    done
}

start_caller() { # start_caller NAME HOST LOOKUPS BOOKINGS SEED NODE...
    local name=$1 host=$2 lookups=$3 bookings=$4 seed=$5 nodes=() node
    shift 5
    for node in "$@"; do nodes+=(--node "$(callers "$node")"); done
    start "$name" "$bin/arbutuslane-standin" caller "${nodes[@]}" --host "$host" \
        --lookup-path "$lookups" --booking-path "$bookings" --lookups 6 --bookings 3 \
        --downloads 1 --download-bytes 200000 --rate "$rate" --seconds "$seconds" --seed "$seed"
}

number() { # number KEY FILE: the value of a number in a JSON summary, or 0
    local found
    found=$(grep -o "\"$1\":[0-9]*" "$2" | head -n 1 | cut -d: -f2 || true)
    echo "${found:-0}"
}
runs_total() { get "http://$(server_address "$1")/standin/runs" | grep -o '"total":[0-9]*' | cut -d: -f2; }

# Prints how often each idempotency key ran, over all servers that still answer.
runs_by_key() {
    local name
    for name in "${server_names[@]}"; do
        get "http://$(server_address "$name")/standin/runs" | grep -o '"key-[^"]*":[0-9]*' || true
    done | awk -F: '{ runs[$1] += $2 } END { for (key in runs) print runs[key], key }'
}

say "build"
cargo build --locked --quiet --workspace --bins
bin=$PWD/target/debug
cli() { "$bin/arbutuslane" --settings "$work/arbutuslane.json" "$@"; }

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
demo_catalogue

say "start 3 control instances, 6 nodes and the backend servers (ports $base to $((base + 99)))"
server_names=()
for i in 0 1 2; do start "control-$i" "$bin/arbutuslane-control" --settings "$work/control-$i.json"; done
for i in 0 1 2 3 4 5; do start_node "$i"; done
start_servers
await "backend servers listen" all_have_address
echo "${#server_names[@]} backend servers"

say "apply the catalogue"
cli catalogue check "$work/catalogue"
applied() { cli catalogue diff "$work/catalogue" > "$work/diff.out"; }
await "a control instance leads" applied
grep -E '^(added|against)' "$work/diff.out"
cli catalogue apply --base 0 --wait --timeout 60 "$work/catalogue" | tee "$work/apply.out"
check "the revision is in force on 3 control instances and 6 nodes" grep -q 'in force on 9 of 9' "$work/apply.out"
for i in 0 1 2 3 4 5; do
    await "node-$i reaches haalestusmeister" serves haalestusmeister.example "$i" /slots /bookings/list /download/a/9
    await "node-$i reaches jasmin" serves jasmin.example "$i" /vitrine /agenda/free /download/a/9
done

say "send requests of every class through all nodes for $seconds s"
# Caller processes avoid the node that is killed later: its connections break by intent.
start_caller caller-ee haalestusmeister.example /slots /bookings 101 0 1 2
start_caller caller-tn jasmin.example /vitrine /agenda 202 3 4

say "break: vitrine-1 and slots-1 fail all work while their health passes"
sleep "$(awk -v s="$seconds" 'BEGIN { print s / 3 }')"
for name in vitrine-1 slots-1; do
    get -X POST -d '{"fail": 1.0}' "http://$(server_address $name)/standin/faults" > /dev/null
    check "health of $name passes" get -o /dev/null "http://$(server_address $name)/health"
done

say "break: node-5 is killed and restarted"
stop_process node-5 KILL
sleep 1
start_node 5
await "node-5 has the catalogue again" node_ready 5
await "node-5 reaches jasmin" serves jasmin.example 5 /vitrine /agenda/free /download/a/9

say "send one booking twice under the same key through two nodes"
for node in 0 1; do
    curl --silent --max-time 10 -X POST -d one -o "$work/booking-$node.out" \
        -w "node-$node: status %{http_code} outcome %header{arbutuslane-outcome}\n" \
        -H 'host: haalestusmeister.example' -H 'idempotency-key: key-twice' \
        "http://$(callers $node)/bookings"
done

for name in caller-ee caller-tn; do wait "${pid_of[$name]}"; unset "pid_of[$name]"; done

count_events() { cli timeline --since 10m --kind "$1" 2> /dev/null | grep -c . || true; }
returned() { test "$(count_events return)" -ge "$(count_events ejection)"; }
ejected() { cli timeline --since 10m --kind ejection 2> /dev/null | grep -o 'server=[^ ]*' | sort -u | paste -sd,; }
failing_ejected() { test "$(ejected)" = server=slots-1,server=vitrine-1; }

say "send more requests until the failing servers are ejected"
# The load lasts as long as it takes, so that no check depends on the speed of the machine.
seconds=300
start_caller caller-ee-later haalestusmeister.example /slots /bookings 303 0 1 2
start_caller caller-tn-later jasmin.example /vitrine /agenda 404 3 4
await "the failing servers are ejected" failing_ejected
if [[ $short == no ]]; then
    say "repair them and wait until trial requests return them to use"
    for name in vitrine-1 slots-1; do
        get -X POST -d '{"fail": 0.0}' "http://$(server_address $name)/standin/faults" > /dev/null
    done
    await "the servers are in use again" returned
fi
for name in caller-ee-later caller-tn-later; do stop_process "$name" KILL; done

say "what callers saw"
cat "$work/caller-ee.out" "$work/caller-tn.out"

say "what operators see"
cli status | tee "$work/status.out" || true
cli timeline --since 10m > "$work/timeline.out" 2> "$work/timeline.err" || true
grep -v group-changed "$work/timeline.out" | tail -n 30
head -n 5 "$work/timeline.err"
cli timeline --since 10m --html "$work/timeline.html" || true
cli report --since 10m || true
cli catalogue history

say "check by the counts"
for name in caller-ee caller-tn; do
    sent=$(number sent "$work/$name.out")
    answered=$(number answered "$work/$name.out")
    check "$name sent requests ($sent)" test "$sent" -gt 0
    check "$name got no response of another request" test "$(number wrong "$work/$name.out")" = 0
    check "$name got no truncated response" test "$(number broken "$work/$name.out")" = 0
    check "$name got at least 95 of 100 answered ($answered)" test $((answered * 100)) -ge $((sent * 95))
done
runs_by_key | sort -rn > "$work/runs.out"
check "bookings ran ($(wc -l < "$work/runs.out") keys)" test -s "$work/runs.out"
check "no key ran twice" test "$(head -n 1 "$work/runs.out" | cut -d' ' -f1)" = 1
check "the booking that was sent twice ran once" grep -qx '1 "key-twice"' "$work/runs.out"

check "the second booking got the response of the first" cmp -s "$work/booking-0.out" "$work/booking-1.out"
check "the failing servers were ejected, and no other" failing_ejected
[[ $short == yes ]] || check "the repaired servers returned to use" returned
check "no service is below its floor" bash -c '! grep -q "below its floor" "$1"' - "$work/status.out"

say "planned stop of all nodes and servers"
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
