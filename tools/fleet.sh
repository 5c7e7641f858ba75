# Shared by the scripts that start a fleet on loopback; sourced after `work`, `keep`, `reserved` and
# `pid_of` are set: processes that end with the script, a block of ports, and addresses.

stop_process() { # stop_process NAME SIGNAL
    local pid=${pid_of[$1]:-}
    [[ -n $pid ]] || return 0
    unset "pid_of[$1]"
    kill "-$2" "$pid" 2>/dev/null || true
    # The shell is the parent, so the id cannot belong to another process before this wait.
    wait "$pid" 2>/dev/null || true
}

finish() {
    local code=$? name
    trap - EXIT INT TERM
    for name in "${!pid_of[@]}"; do stop_process "$name" KILL; done
    [[ -z $reserved ]] || rm -rf "$reserved"
    if [[ $keep == yes ]]; then echo "kept $work"; else rm -rf "$work"; fi
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Reserves a block of 100 ports below the range from which the system takes outgoing ports.
reserve_ports() {
    local folder="${TMPDIR:-/tmp}/arbutuslane-demo-ports" block owner port free
    mkdir -p "$folder"
    for _ in $(seq 200); do
        block=$((10000 + 100 * (RANDOM % 220)))
        if ! mkdir "$folder/$block" 2>/dev/null; then
            owner=$(cat "$folder/$block/pid" 2>/dev/null || echo "")
            # A run that was killed leaves its reservation behind.
            [[ -n $owner && ! -d /proc/$owner ]] && rm -rf "${folder:?}/$block"
            continue
        fi
        reserved="$folder/$block"
        echo $$ > "$reserved/pid"
        free=yes
        for port in $(seq "$block" $((block + 99))); do
            if (exec 3<> "/dev/tcp/127.0.0.1/$port") 2>/dev/null; then free=no; break; fi
        done
        if [[ $free == yes ]]; then base=$block; return; fi
        rm -rf "$reserved"
        reserved=""
    done
    echo "no free block of ports" >&2
    exit 1
}

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" > "$work/$name.out" 2>> "$work/$name.log" &
    pid_of[$name]=$!
}

# Waits until a command succeeds; the bound only ends a run that hangs.
await() { # await DESCRIPTION COMMAND...
    local description=$1
    shift
    for _ in $(seq 1200); do
        if "$@" > "$work/await.out" 2>&1; then return; fi
        sleep 0.1
    done
    echo "gave up waiting: $description" >&2
    tail -n 5 "$work/await.out" "$work"/*.log >&2 || true
    exit 1
}

get() { curl --silent --fail --max-time 5 "$@"; }
operators() { echo "127.0.0.1:$((base + 10 * $1))"; }
control_peers() { echo "127.0.0.1:$((base + 10 * $1 + 1))"; }
callers() { echo "127.0.0.1:$((base + 40 + 5 * $1))"; }
peers() { echo "127.0.0.1:$((base + 41 + 5 * $1))"; }
admin() { echo "127.0.0.1:$((base + 42 + 5 * $1))"; }
quoted_list() { local item; for item in "$@"; do printf '"%s"\n' "$item"; done | paste -sd,; }
