#!/usr/bin/env bash
# Measures the cost of starting the service on this machine: processor time until it listens, until it has listed a view
# of 540 machines and 200 jobs, and two seconds later; classes loaded from the archive and from the jar; and resident
# memory. The state service is simulated, on loopback. Needs a build. Usage: tools/start-cost.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-5}
work=$(mktemp -d)
state_port=18082
state_pid=
trap '[[ -z $state_pid ]] || kill "$state_pid"; rm -rf "$work"' EXIT
cat > "$work/settings.json" <<JSON
{"node_name": "a", "zone": "z", "serve_on": "127.0.0.1:18080", "internal_addr": "127.0.0.1:18081", "others": [],
 "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:$state_port"},
 "deployment": {"size": 1, "zones": ["z"], "teams": [], "objectives": [],
  "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 42.0},
  "state": {"rps": 150.0, "write_rps": 30.0, "value_kb": 32.0, "txn_ops": 24},
  "cloud": {"rps": 2.0, "list_lag_s": 5.0},
  "quota": {"cpu_share": 0.1, "mem_mb": 200.0, "fd_limit": 1000}, "time_bound_ms": 100.0}}
JSON
read -r -a command < <(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
program=${command[0]}
arguments=("${command[@]:1}")
ticks_per_second=$(getconf CLK_TCK)

# Prints the processor time that a process has used so far, in milliseconds.
processor_ms() {
    awk -v hz="$ticks_per_second" '{ print int(($14 + $15) * 1000 / hz) }' "/proc/$1/stat"
}

# Waits until the log of a process contains a text; exits with the log if the process ends first.
await() {
    until grep -qs "$3" "$2"; do
        if ! kill -0 "$1" 2> /dev/null; then
            cat "$2" >&2
            exit 1
        fi
        sleep 0.005
    done
}

java -cp target/flaxfield.jar:target/test-classes flaxfield.training.PopulatedStateServiceKt "$state_port" 2> "$work/state" &
state_pid=$!
await "$state_pid" "$work/state" 'state service on'

for (( run = 1; run <= runs; run++ )); do
    log="$work/log"
    classes="$work/classes"
    rm -f "$log"
    "$program" "-Xlog:class+load:file=$classes" "${arguments[@]}" "$work/settings.json" 2> "$log" > /dev/null &
    pid=$!
    await "$pid" "$log" 'event=process_started'
    listening=$(processor_ms "$pid")
    await "$pid" "$log" 'event=view_listed'
    viewed=$(processor_ms "$pid")
    sleep 2
    settled=$(processor_ms "$pid")
    resident=$(awk '/VmRSS/ { print int($2 / 1024) }' "/proc/$pid/status")
    kill "$pid"
    wait "$pid" 2> /dev/null || true
    archived=$(grep -c 'shared objects file' "$classes" || true)
    loaded=$(grep -vc 'shared objects file' "$classes" || true)
    echo "run $run: listening after $listening ms, view listed after $viewed ms, two seconds later $settled ms; $archived classes from the archive, $loaded others; $resident MB resident"
done
