# Functions that start and stop stand-ins and daemons on loopback. To be sourced.
#
# Ports of one cluster, from PORT_BASE on: +1 store, +2 VM list, +101 workers,
# +10i HTTP and +10i+1 calls between daemons of daemon i (i from 1 to 9).

set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
PORT_BASE=${PORT_BASE:-17000}
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
TEAM_SHARDS=${TEAM_SHARDS:-8}
STORE=127.0.0.1:$((PORT_BASE + 1))
VM_LIST=127.0.0.1:$((PORT_BASE + 2))
WORKERS=127.0.0.1:$((PORT_BASE + 101))
declare -A PIDS=()

http_of() { echo "127.0.0.1:$((PORT_BASE + 10 * $1))"; }
rpc_of() { echo "127.0.0.1:$((PORT_BASE + 10 * $1 + 1))"; }

# start_process NAME COMMAND...
start_process() {
  local name=$1
  shift
  "$@" 2>>"$RUN_DIR/$name.log" >>"$RUN_DIR/$name.out" &
  PIDS[$name]=$!
}

# stop_process NAME: SIGTERM, waits, and returns the exit code.
stop_process() {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

# kill_process NAME: SIGKILL.
kill_process() {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -KILL "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# Ends whatever is left; for an exit trap.
end_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  for ((; tries > 0; tries--)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

# start_stand_ins VM...
start_stand_ins() {
  local vms list vm
  vms=$(IFS=,; echo "$*")
  start_process store "$BUILD/Source/StandIns/standin_store" --port $((PORT_BASE + 1))
  start_process vm_list "$BUILD/Source/StandIns/standin_vm_list" --port $((PORT_BASE + 2))
  start_process workers "$BUILD/Source/StandIns/standin_worker" --port $((PORT_BASE + 101)) \
    --vms="$vms" --cpu_millis "${VM_CPU_MILLIS:-8000}" --memory_mb "${VM_MEMORY_MB:-16384}" \
    --accelerators "${VM_ACCELERATORS:-1}"
  wait_for 10 curl -sf "$STORE/control/counts"
  wait_for 10 curl -sf "$WORKERS/control/journal?since=0"
  list=$(for vm in "$@"; do printf '{"id":"%s","state":"live"},' "$vm"; done)
  wait_for 10 curl -sf "$VM_LIST/v1/vms"
  curl -sf -X POST "$VM_LIST/control/vms" -d "{\"vms\":[${list%,}]}" >/dev/null
}

# start_daemon NUMBER [FLAG...]
start_daemon() {
  local i=$1
  shift
  start_process "daemon$i" "$BUILD/Source/Daemon/mustardslipd" \
    --http_address "$(http_of "$i")" --rpc_address "$(rpc_of "$i")" \
    --zone "zone-$i" --store "$STORE" --vm_list "$VM_LIST" \
    --team_shards "$TEAM_SHARDS" --drain_delay_ms "${DRAIN_DELAY_MS:-500}" "$@"
}

daemon_ready() { curl -sf "$(http_of "$1")/readyz"; }

# groups_ready COUNT DAEMON: all VM groups have an owner.
groups_ready() {
  local text
  text=$(curl -sf "$(http_of "$2")/v1/status" -H "Authorization: Bearer $OPERATOR_KEY")
  [ "$(grep -o '"ready":true' <<<"$text" | wc -l)" -ge "$1" ]
}
