#!/usr/bin/env bash
# Starts an example deployment with stand-ins on loopback. Runs until Ctrl-C or,
# if a command is given, until that command ends.
# Usage: scripts/run.sh [casablanca|lagos] [command ...]
set -u
cd "$(dirname "$0")/.."
deployment=${1:-casablanca}
[ $# -gt 0 ] && shift
bin=.venv/bin
examples=examples/$deployment
logs=run/$deployment
mkdir -p "$logs"
pids=()
names=()

"$bin/python" scripts/check_ports.py "$deployment" || exit 1

start() {  # start NAME PROGRAM SETTINGS
    "$bin/$2" --settings "$3" 2>"$logs/$1.log" &
    pids+=($!)
    names+=("$1")
    echo "$!" >"$logs/$1.pid"
}

stop() {
    trap - EXIT INT TERM
    # Stops the programs of the entry hosts before the platform stand-in, which
    # they use until they end.
    for pid in "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]:1}"; do await_end "$pid"; done
    kill -TERM "${pids[0]}" 2>/dev/null
    await_end "${pids[0]}"
}

await_end() {
    while kill -0 "$1" 2>/dev/null; do sleep 0.1; done
}

check_running() {
    for index in "${!pids[@]}"; do
        if ! kill -0 "${pids[$index]}" 2>/dev/null; then
            echo "${names[$index]} has ended unexpectedly; see" \
                "$logs/${names[$index]}.log" >&2
            tail -n 3 "$logs/${names[$index]}.log" >&2
            exit 1
        fi
    done
}
trap stop EXIT
trap 'exit 130' INT TERM

start standin cairnloom-standin "$examples/standin.json"
for number in 0 1 2 3 4 5; do
    for program in gateway controller reporter; do
        start "$program-$number" "cairnloom-$program" \
            "$examples/host-$number.json"
    done
done

# Keeps the shell from printing a message when the demo kills a program.
disown -a

"$bin/python" scripts/prepare.py "$deployment" &
preparing=$!
while kill -0 "$preparing" 2>/dev/null; do
    check_running
    sleep 0.2
done
wait "$preparing" || exit 1
if [ $# -gt 0 ]; then
    "$@"
    exit $?
fi
echo "Ctrl-C stops everything. Logs are in $logs."
while true; do
    check_running
    sleep 1
done
