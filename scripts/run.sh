#!/usr/bin/env bash
# Start one deployment with stand-ins on loopback, until Ctrl-C.
# Usage: scripts/run.sh [casablanca|lagos] [command to run meanwhile ...]
set -u
cd "$(dirname "$0")/.."
deployment=${1:-casablanca}
[ $# -gt 0 ] && shift
bin=.venv/bin
examples=examples/$deployment
logs=run/$deployment
mkdir -p "$logs"
pids=()

start() {  # start NAME PROGRAM SETTINGS
    "$bin/$2" --settings "$3" 2>"$logs/$1.log" &
    pids+=($!)
    echo "$!" >"$logs/$1.pid"
}

stop() {
    trap - EXIT INT TERM
    # Entry hosts first, the platform last.
    for pid in "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]:1}"; do wait "$pid" 2>/dev/null; done
    kill -TERM "${pids[0]}" 2>/dev/null
    wait "${pids[0]}" 2>/dev/null
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

"$bin/python" scripts/prepare.py "$deployment" || exit 1
if [ $# -gt 0 ]; then
    "$@"
    exit $?
fi
echo "Ctrl-C stops everything. Logs are in $logs."
wait
