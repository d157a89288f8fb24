#!/usr/bin/env bash
# Runs the fakes and six nodes of an example as processes of their own, rolls its
# bundle out and waits. Ctrl-C stops everything that the script started.
set -euo pipefail

if [ $# -ne 1 ] || { [ "$1" != clearing ] && [ "$1" != tender ]; }; then
  echo "usage: examples/run.sh clearing|tender" >&2
  exit 2
fi
cd "$(dirname "$0")/.."
root=$PWD
logs=$(mktemp -d -t "dragonflyford-$1.XXXXXX")
go build -o "$logs/" ./cmd/dragonflyford ./cmd/dragonflyctl
cd "$root/examples/$1"

nodes=()
for settings in *-entry-*.json; do nodes+=("${settings%.json}"); done

# Sends a signal to the process in a pid file; it may be gone already.
signal() { kill "-$1" "$(cat "$2")" 2>/dev/null || true; }

# A node in a pid file may be one that was restarted by hand, so the end is polled.
# Nodes stop before the fakes, so that they can hand their engines over.
stop() {
  trap - EXIT
  trap '' INT TERM # a second signal would leave processes behind
  for name in "${nodes[@]}"; do
    [ -f "$logs/$name.pid" ] || continue
    signal CONT "$logs/$name.pid"
    signal TERM "$logs/$name.pid"
  done
  for _ in $(seq 300); do
    left=0
    for name in "${nodes[@]}"; do
      [ -f "$logs/$name.pid" ] && kill -0 "$(cat "$logs/$name.pid")" 2>/dev/null && left=1
    done
    [ "$left" = 0 ] && break
    sleep 0.1
  done
  [ -f "$logs/emulate.pid" ] && signal TERM "$logs/emulate.pid"
  wait
  echo "everything has stopped; the logs are in $logs"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# await SECONDS WHAT COMMAND... repeats a command until it succeeds.
await() {
  local seconds=$1 what=$2
  shift 2
  for _ in $(seq $((seconds * 5))); do
    "$@" >/dev/null 2>&1 && return
    sleep 0.2
  done
  echo "$what after $seconds s; see the logs in $logs" >&2
  exit 1
}

field() { sed -n "s/^ *\"$2\": \"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }

control=$(field emulate.json control)
"$logs/dragonflyford" emulate --config emulate.json >"$logs/emulate.log" 2>&1 &
echo $! >"$logs/emulate.pid"
await 10 "the fakes do not answer" curl -fs "http://$control/control/stats"

for name in "${nodes[@]}"; do
  curl -fsS -X PUT -d '{"state":"live"}' "http://$control/control/hosts/$name"
  "$logs/dragonflyford" serve --config "$name.json" >"$logs/$name.log" 2>&1 &
  echo $! >"$logs/$name.pid"
done
for name in "${nodes[@]}"; do
  await 20 "$name does not answer" curl -fs "http://$(field "$name.json" callers)/healthz"
done

leased() { [ "$("$logs/dragonflyctl" --config author.json bundle status | grep -c ' live$')" = "${#nodes[@]}" ]; }
await 30 "not every node has a lease" leased
"$logs/dragonflyctl" --config author.json bundle roll-out bundle.json
for name in "${nodes[@]}"; do
  await 20 "$name is not ready" curl -fs "http://$(field "$name.json" callers)/readyz"
done

echo "the $1 example is ready; programs, logs and pid files are in $logs"
echo "Ctrl-C stops it"
wait
