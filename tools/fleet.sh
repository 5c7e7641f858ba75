# Functions shared by the scripts that start a fleet on loopback: processes that are killed when the
# script exits, a reserved block of ports, and the addresses within it. The script sets `work_dir`,
# `keep_files`, `port_reservation` and `pid_of` before it sources this file.

# Sends a signal to a process that the script started and waits until the process exits.
stop_process() { # stop_process NAME SIGNAL
    local pid=${pid_of[$1]:-}
    [[ -n $pid ]] || return 0
    unset "pid_of[$1]"
    kill "-$2" "$pid" 2>/dev/null || true
    # The shell is the parent process, so the system does not reuse the id before this wait.
    wait "$pid" 2>/dev/null || true
}

# Kills all processes that the script started, releases the ports, and removes the work folder
# unless --keep was given.
clean_up() {
    local exit_code=$? name
    trap - EXIT INT TERM
    for name in "${!pid_of[@]}"; do stop_process "$name" KILL; done
    [[ -z $port_reservation ]] || rm -rf "$port_reservation"
    if [[ $keep_files == yes ]]; then echo "kept the files in $work_dir"; else rm -rf "$work_dir"; fi
    exit "$exit_code"
}
trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Reserves a block of 100 ports below the system's range of ephemeral ports, and sets `base_port`.
reserve_ports() {
    local folder="${TMPDIR:-/tmp}/arbutuslane-demo-ports" block owner_pid port all_free
    mkdir -p "$folder"
    for _ in $(seq 200); do
        block=$((10000 + 100 * (RANDOM % 220)))
        if ! mkdir "$folder/$block" 2>/dev/null; then
            owner_pid=$(cat "$folder/$block/pid" 2>/dev/null || echo "")
            # Removes the reservation of a run that was killed before it could clean up.
            [[ -n $owner_pid && ! -d /proc/$owner_pid ]] && rm -rf "${folder:?}/$block"
            continue
        fi
        port_reservation="$folder/$block"
        echo $$ > "$port_reservation/pid"
        all_free=yes
        for port in $(seq "$block" $((block + 99))); do
            if (exec 3<> "/dev/tcp/127.0.0.1/$port") 2>/dev/null; then all_free=no; break; fi
        done
        if [[ $all_free == yes ]]; then base_port=$block; return; fi
        rm -rf "$port_reservation"
        port_reservation=""
    done
    echo "found no block of 100 free ports in 200 attempts" >&2
    exit 1
}

# Starts a process in the background; its output goes to NAME.out and NAME.log in the work folder.
start_process() { # start_process NAME COMMAND...
    local name=$1
    shift
    "$@" > "$work_dir/$name.out" 2>> "$work_dir/$name.log" &
    pid_of[$name]=$!
}

# Waits until a command succeeds. The limit of 1200 attempts only serves to end a run that hangs.
wait_until() { # wait_until DESCRIPTION COMMAND...
    local description=$1
    shift
    for _ in $(seq 1200); do
        if "$@" > "$work_dir/await.out" 2>&1; then return; fi
        sleep 0.1
    done
    echo "timed out waiting until $description" >&2
    tail -n 5 "$work_dir/await.out" "$work_dir"/*.log >&2 || true
    exit 1
}

# Sends an HTTP request with curl and fails on an error status or after 5 s.
http_get() { curl --silent --fail --max-time 5 "$@"; }
# Listening addresses; the argument is the number of the control instance or node.
operator_address() { echo "127.0.0.1:$((base_port + 10 * $1))"; }
control_peer_address() { echo "127.0.0.1:$((base_port + 10 * $1 + 1))"; }
caller_address() { echo "127.0.0.1:$((base_port + 40 + 5 * $1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 41 + 5 * $1))"; }
admin_address() { echo "127.0.0.1:$((base_port + 42 + 5 * $1))"; }
# Prints the arguments as the elements of a JSON array of strings.
quoted_list() { local item; for item in "$@"; do printf '"%s"\n' "$item"; done | paste -sd,; }
