#!/usr/bin/env bash
# Starts stand-ins, three daemons and the demo inventory on loopback, runs unlike
# work through different daemons, and prints what each caller was told. Exits
# with 0 only if every answer was as promised.
# Usage: Tools/demo.sh [--keep]    --keep: leaves everything running
set -euo pipefail
cd "$(dirname "$0")/.."

keep=false
case "${1:-}" in
  --keep) keep=true ;;
  "") ;;
  *) echo "usage: Tools/demo.sh [--keep]" >&2; exit 2 ;;
esac

Tools/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target mustardslipd mustardslip standin_store standin_vm_list standin_worker

source Tools/cluster.sh
trap end_all EXIT
failures=0
LOOKUP=demo-lookup.demo-secret-lookup
BATCH=demo-batch.demo-secret-batch
GANG=demo-gang.demo-secret-gang
OPERATOR_KEY=demo-operator.demo-secret-operator
CLI=$BUILD/Source/Cli/mustardslip

# call DAEMON KEY METHOD PATH [CURL ARGUMENT...]: prints status and body.
call() {
  local daemon=$1 key=$2 method=$3 path=$4
  shift 4
  curl -s -o "$RUN_DIR/body" -w '%{http_code}' -X "$method" "$(http_of "$daemon")$path" \
    ${key:+-H "Authorization: Bearer $key"} "$@" >"$RUN_DIR/status" || true
  echo "$(cat "$RUN_DIR/status") $(tr -d '\n' <"$RUN_DIR/body")"
}

# expect TITLE PATTERN ANSWER
expect() {
  if grep -qE "$2" <<<"$3"; then
    printf 'ok    %-42s %s\n' "$1" "${3:0:110}"
  else
    printf 'FAIL  %-42s %s\n      expected: %s\n' "$1" "$3" "$2"
    failures=$((failures + 1))
  fi
}

journal_count() { curl -s "$WORKERS/control/journal?since=0" | grep -oE "$1" | wc -l; }

start_stand_ins demo-a1 demo-a2 demo-b1 demo-b2 demo-c1 demo-c2
"$CLI" validate Data/demo
"$CLI" bootstrap Data/demo --store="$STORE"
for i in 1 2 3; do start_daemon "$i"; done
for i in 1 2 3; do wait_for 30 daemon_ready "$i"; done
wait_for 30 groups_ready 3 1

expect "service starts (daemon 1)" '^20[02] .*"outcome":"(queued|running)"' \
  "$(call 1 $LOOKUP POST '/v1/jobs' -H 'Idempotency-Key: demo-service' -d '{"kind":"service",
  "name":"finder","tasks":2,"slots":8,"resources":{"processors":1,"memory_mb":512},"payload":"{}"}')"
service_answers() { call 2 $LOOKUP POST /v1/services/finder/requests -d '{"part":"tap"}' | grep -q '^200'; }
wait_for 20 service_answers
expect "service request (daemon 2)" '^200 .*"part":"tap"' \
  "$(call 2 $LOOKUP POST /v1/services/finder/requests -d '{"part":"tap"}')"
expect "batch job (daemon 3)" '^200 .*"outcome":"done"' \
  "$(call 3 $BATCH POST '/v1/jobs?wait_ms=20000' -d '{"kind":"batch","tasks":3,
  "resources":{"processors":2,"memory_mb":512},"payload":"{\"run_ms\":200,\"answer\":\"rebuilt\"}"}')"
expect "all-at-once job (daemon 1)" '^200 .*"outcome":"done"' \
  "$(call 1 $GANG POST '/v1/jobs?wait_ms=20000' -d '{"kind":"gang","tasks":4,
  "resources":{"processors":3,"memory_mb":512},"payload":"{\"run_ms\":200,\"answer\":\"matched\"}"}')"

key="$(date +%s).demo-order"
for daemon in 1 2 3 1 2 3; do
  order=$(call $daemon $LOOKUP POST /v1/services/finder/requests -H "Idempotency-Key: $key" \
    -H 'X-Non-Idempotent: true' -d '{"order":"demo-order-1"}')
  expect "non-idempotent request, daemon $daemon" '^200 .*demo-order-1' "$order"
done
order_id=$(grep -oE '"request_id":"[^"]*"' <<<"$order" | head -1 | cut -d'"' -f4)
expect "it ran once" '^1$' "$(journal_count "request_started[^}]*$order_id")"

expect "job above the team's limit" '"outcome":"not_run".*"reason":"' \
  "$(call 2 $BATCH POST /v1/jobs -d '{"kind":"batch","tasks":1,
  "resources":{"processors":100,"memory_mb":512},"payload":"{}"}')"
expect "wrong key" '^401 .*not_run' "$(call 1 demo-lookup.wrong POST /v1/services/finder/requests -d x)"
expect "queue of another team" '^403 .*not_run' \
  "$(call 1 $BATCH POST /v1/jobs -d '{"kind":"batch","queue":"gang","resources":{"processors":1},"payload":"{}"}')"
expect "open queue without a key" '^200 .*"outcome":"done"' \
  "$(call 3 '' POST '/v1/jobs?wait_ms=20000' -d '{"kind":"batch","queue":"public",
  "resources":{"processors":1},"payload":"{\"run_ms\":50}"}')"

mkdir -p "$RUN_DIR/changed"
sed '/"id":"demo-batch"/d' Data/demo/inventory.json >"$RUN_DIR/changed/inventory.json"
cp Data/demo/rules.json "$RUN_DIR/changed/"
MUSTARDSLIP_KEY=$OPERATOR_KEY "$CLI" apply "$RUN_DIR/changed" --server="$(http_of 1)" --base_revision=1
sleep 5
for daemon in 1 2 3; do
  expect "withdrawn key, daemon $daemon" '^401 .*not_run' \
    "$(call $daemon $BATCH POST /v1/jobs -d '{"kind":"batch","resources":{"processors":1},"payload":"{}"}')"
done

if $keep; then
  trap - EXIT
  echo "left running: http://$(http_of 1) http://$(http_of 2) http://$(http_of 3); logs in $RUN_DIR"
  echo "key: $LOOKUP    processes: ${PIDS[*]}"
  echo "try: curl -X POST http://$(http_of 2)/v1/services/finder/requests \\"
  echo "       -H 'Authorization: Bearer $LOOKUP' -d '{\"part\":\"tap\"}'"
  exit $((failures > 0))
fi

for i in 1 2 3; do
  code=0
  stop_process "daemon$i" || code=$?
  expect "daemon $i stops gracefully" '^0$' "$code"
done
for name in workers vm_list store; do stop_process $name || true; done
if ((failures > 0)); then
  echo "$failures answers were not as promised; logs in $RUN_DIR"
  exit 1
fi
echo "all answers as promised"
rm -rf "$RUN_DIR"
