#!/usr/bin/env bash
# Puts a load on a running example and makes one thing after the other fail. DIR is
# the directory that examples/run.sh names. Each seed works once per run of the
# fakes, because request ids and idempotency keys are made of it.
set -euo pipefail

if [ $# -ne 3 ]; then
  echo "usage: examples/faults.sh clearing|tender DIR SEED" >&2
  exit 2
fi
run=$2
cd "$(dirname "$0")/$1"

field() { sed -n "s/^ *\"$2\": \"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }
start=$(date +%s%N)
say() { echo "$((($(date +%s%N) - start) / 1000000)) ms: $*"; }
control=$(field emulate.json control)
nodes=()
for settings in *-entry-*.json; do nodes+=("${settings%.json}"); done
engines=$(grep -c '"kind":"engine"' bundle.json)
fault() { curl -fsS -X POST -d "$1" "http://$control/control/faults"; }

# Engines with an owner that says so, over all nodes. Settings name the address
# of the operators' listener before the key.
owned() {
  for name in "${nodes[@]}"; do
    curl -s -m 1 -H "Authorization: Bearer $(cat operator.key)" \
      "http://$(field "$name.json" operators)/operator/status" || true
  done | grep -o '"fence"' | wc -l
}

# Waits until every engine has one owner.
await_owners() {
  for _ in $(seq 300); do
    [ "$(owned)" -eq "$engines" ] && say "all $engines engines have an owner" && return
    sleep 0.1
  done
  say "only $(owned) of $engines engines have an owner"
}

serve() {
  "$run/dragonflyford" serve --config "$1.json" >>"$run/$1.log" 2>&1 &
  echo $! >"$run/$1.pid"
  until curl -fs "http://$(field "$1.json" callers)/readyz" >/dev/null; do sleep 0.05; done
  say "$1 is ready"
}

pid() { cat "$run/$1.pid"; }

# Waits until a posting is done.
await_posting() {
  local n=0 service path
  service=$(field load.json service)
  path=$(field load.json posting_path)
  until curl -s -m 5 -o /dev/null -w '%{http_code}' -d '{}' -H "Idempotency-Key: probe-$$-$((n += 1))" \
    "http://$(field "${nodes[1]}.json" callers)/v1/services/$service$path" | grep -q 200; do sleep 0.05; done
  say "a posting is done"
}

sed -e "s/\"seed\": 1,/\"seed\": $3,/" -e 's/"duration_s": 120/"duration_s": 150/' load.json >"$run/load.json"
"$run/dragonflyctl" load --config "$run/load.json" --out "$run/result.json" 2>"$run/load.log" &
load=$!
say "load starts"
sleep 15

say "kill -9 ${nodes[2]}"
kill -9 "$(pid "${nodes[2]}")"
sleep 0.5
await_owners
sleep 5
say "restart ${nodes[2]}"
serve "${nodes[2]}"
sleep 10

say "SIGSTOP ${nodes[0]}"
kill -STOP "$(pid "${nodes[0]}")"
sleep 15
say "SIGCONT ${nodes[0]}"
kill -CONT "$(pid "${nodes[0]}")"
await_owners
sleep 10

engine=$(sed -n 's/^ *"name": "\([^"]*\)".*/\1/p' emulate.json | head -n 1)
say "cold restart of $engine, away for 2 s"
fault "{\"target\":\"$engine\",\"kind\":\"restart_cold\",\"delay_ms\":2000}"
sleep 10

say "drain ${nodes[5]}"
"$run/dragonflyctl" --config author.json drain node "${nodes[5]}"
while kill -0 "$(pid "${nodes[5]}")" 2>/dev/null; do sleep 0.05; done
say "${nodes[5]} has ended"
await_owners
"$run/dragonflyctl" --config author.json undrain node "${nodes[5]}"
serve "${nodes[5]}"
sleep 5

say "the table is down"
fault '{"target":"table","kind":"down"}'
sleep 20
curl -fsS -X DELETE "http://$control/control/faults?target=table"
say "the table is up"
await_posting
await_owners

ended=0
wait $load || ended=$?
say "load has ended with exit code $ended"
cat "$run/result.json"
curl -fsS "http://$control/control/executions" >"$run/executions.json"
counts() { grep -o '":[0-9]\+' "$run/executions.json" || true; }
echo "operations executed: $(counts | wc -l), more than once: $(counts | grep -vc '":1$' || true)"
"$run/dragonflyctl" --config author.json bundle status
exit $ended
