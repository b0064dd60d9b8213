#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses: an idle cluster's processor
# time, memory and store calls for each daemon, the cost of a service request,
# and (with --decisions) the placement core's tables.
# Usage: Tools/capacity.sh [--decisions]
set -euo pipefail
cd "$(dirname "$0")/.."

PORT_BASE=${PORT_BASE:-19500}
source Tools/cluster.sh
trap end_all EXIT
OPERATOR_KEY=demo-operator.demo-secret-operator
KEY=demo-lookup.demo-secret-lookup
SECONDS_IDLE=${SECONDS_IDLE:-20}

mkdir -p "$RUN_DIR/config"
sed "s/127.0.0.1:17101/$WORKERS/" Data/demo/inventory.json >"$RUN_DIR/config/inventory.json"
cp Data/demo/rules.json "$RUN_DIR/config/"
start_stand_ins demo-a1 demo-a2 demo-b1 demo-b2 demo-c1 demo-c2
"$BUILD/Source/Cli/mustardslip" bootstrap "$RUN_DIR/config" --store="$STORE" >/dev/null
for i in 1 2 3; do start_daemon "$i"; done
for i in 1 2 3; do wait_for 40 daemon_ready "$i"; done
wait_for 40 groups_ready 3 1
sleep 5

# Processor time in ticks of 10 ms, and resident memory in KB, of all daemons.
cpu_ticks() {
  local i sum=0 fields
  for i in 1 2 3; do
    read -r -a fields <"/proc/${PIDS[daemon$i]}/stat"
    sum=$((sum + fields[13] + fields[14]))
  done
  echo $sum
}
memory_kb() {
  local i
  for i in 1 2 3; do grep VmRSS "/proc/${PIDS[daemon$i]}/status" | grep -oE '[0-9]+'; done | tr '\n' ' '
}
store_calls() { curl -s "$STORE/control/counts" | grep -oE '"calls":\{[^}]*\}' | grep -oE '[0-9]+' | paste -sd+ | bc; }

ticks=$(cpu_ticks)
calls=$(store_calls)
sleep "$SECONDS_IDLE"
echo "idle, 3 daemons, 6 VMs, $TEAM_SHARDS team shards, $SECONDS_IDLE s:"
echo "  processor ms per daemon and second: $(echo "scale=2; ($(cpu_ticks) - $ticks) * 10 / 3 / $SECONDS_IDLE" | bc)"
echo "  store calls per daemon and second:  $(echo "scale=2; ($(store_calls) - $calls) / 3 / $SECONDS_IDLE" | bc)"
echo "  resident KB of the daemons:         $(memory_kb)"

curl -sf -X POST "$(http_of 1)/v1/jobs" -H "Authorization: Bearer $KEY" -H 'Idempotency-Key: finder' \
  -d '{"kind":"service","name":"finder","tasks":6,"slots":8,"resources":{"processors":1,"memory_mb":512},"payload":"{}"}' >/dev/null
served() { curl -sf -X POST "$(http_of 1)/v1/services/finder/requests" -H "Authorization: Bearer $KEY" -d x; }
wait_for 20 served
for connections in 1 16 60; do
  ticks=$(cpu_ticks)
  line=$("$BUILD/Source/TestTools/load_client" --targets="$(http_of 1),$(http_of 2),$(http_of 3)" \
    --journal="$WORKERS" --key=$KEY --connections=$connections --requests=6000 --tries=20)
  echo "service requests, $connections connections: $line"
  echo "  processor us of all daemons per request: $((($(cpu_ticks) - ticks) * 10000 / 6000))"
done
echo "resident KB after the load: $(memory_kb)"
if [ "${1:-}" = --decisions ]; then
  "$BUILD/bench/decision_benchmark" --table --only=cost
fi
for i in 1 2 3; do stop_process "daemon$i" || true; done
