#!/usr/bin/env bash
# Runs three daemons against the stand-ins under faults, and compares what
# callers were told with the journal of the worker stand-in.
# Usage: Tools/fault_test.sh [--long] [SCENARIO...]
# --long: more requests and longer faults. Without names all scenarios run.
set -euo pipefail
cd "$(dirname "$0")/.."

scale=1
if [ "${1:-}" = --long ]; then
  scale=5
  shift
fi
Tools/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target mustardslipd mustardslip load_client journal_check standin_store standin_vm_list standin_worker

PORT_BASE=${PORT_BASE:-18000}
source Tools/cluster.sh
trap end_all EXIT
LOAD=$BUILD/Source/TestTools/load_client
CHECK=$BUILD/Source/TestTools/journal_check
LOOKUP=demo-lookup.demo-secret-lookup
BATCH=demo-batch.demo-secret-batch
GANG=demo-gang.demo-secret-gang
OPERATOR_KEY=demo-operator.demo-secret-operator
TARGETS=$(http_of 1),$(http_of 2),$(http_of 3)
VMS=(demo-a1 demo-a2 demo-b1 demo-b2 demo-c1 demo-c2)
passed=0
failed=0

note() { printf '        %s\n' "$*"; }
check() { # check TITLE COMMAND...
  local title=$1
  shift
  if "$@"; then
    printf 'ok      %s\n' "$title"
    passed=$((passed + 1))
  else
    printf 'FAILED  %s\n' "$title"
    failed=$((failed + 1))
  fi
}

# post DAEMON KEY PATH [CURL ARGUMENT...]: prints "status body".
post() {
  local daemon=$1 key=$2 path=$3
  shift 3
  curl -s -m 60 -w '\n%{http_code}' -X POST "$(http_of "$daemon")$path" \
    -H "Authorization: Bearer $key" "$@" | tr '\n' ' ' || true
}
control() { curl -sf -m 10 -X POST "$1/control/$2" -d "$3" >/dev/null; }
requests() { echo $(($1 * scale)); }
load() { # load NAME [FLAG...]: prints the summary and keeps it in LAST
  local name=$1
  shift
  local code=0
  LAST=$("$LOAD" --targets="$TARGETS" --journal="$WORKERS" --key=$LOOKUP "$@") || code=$?
  note "$name: $LAST"
  return $code
}
journal_holds() {
  local line code=0
  line=$("$CHECK" --journal="$WORKERS" --vm_cpu_millis=8000 --vm_memory_mb=16384 \
    --limits=batch=24000,gang=24000,lookup=32000) || code=$?
  note "journal: $line"
  return $code
}
service_answers() { post "$1" $LOOKUP /v1/services/finder/requests -d probe | grep -q ' 200 *$'; }
all_ready() {
  local i
  for i in 1 2 3; do wait_for 40 daemon_ready $i || return 1; done
  wait_for 40 groups_ready 3 1
}
vm_json() { # vm_json LEAVING: the VM list with one VM leaving
  local vm state out=""
  for vm in "${VMS[@]}"; do
    state=live
    [ "$vm" = "$1" ] && state=leaving
    out+="{\"id\":\"$vm\",\"state\":\"$state\"},"
  done
  echo "{\"vms\":[${out%,}]}"
}

cli() { MUSTARDSLIP_KEY=$OPERATOR_KEY "$BUILD/Source/Cli/mustardslip" "$@"; }

start_cluster() {
  CONFIG=$RUN_DIR/config
  mkdir -p "$CONFIG"
  sed "s/127.0.0.1:17101/$WORKERS/" Data/demo/inventory.json >"$CONFIG/inventory.json"
  cp Data/demo/rules.json "$CONFIG/"
  start_stand_ins "${VMS[@]}"
  cli bootstrap "$CONFIG" --store="$STORE" >/dev/null
  for i in 1 2 3; do start_daemon $i; done
  all_ready
  post 1 $LOOKUP /v1/jobs -H 'Idempotency-Key: finder' -d '{"kind":"service","name":"finder",
    "tasks":3,"slots":8,"resources":{"processors":1,"memory_mb":512},"payload":"{}"}' >/dev/null
  wait_for 20 service_answers 1
}
stop_cluster() {
  local i
  for i in 1 2 3; do
    [ -n "${PIDS[daemon$i]:-}" ] && { stop_process daemon$i || true; }
  done
  for i in workers vm_list store; do stop_process $i || true; done
}

kill_entry() {
  load "killed entry" --requests="$(requests 300)" --connections=24 --non_idempotent --tries=60 --retry_pause_ms=100 &
  local job=$!
  sleep 1
  kill_process daemon2
  sleep 2
  start_daemon 2
  check "SIGKILL of an entry: no request ran twice, no answer was false" wait $job
  check "the killed entry is back" wait_for 40 daemon_ready 2
}

freeze_owner() {
  load "frozen owner" --requests="$(requests 300)" --connections=24 --non_idempotent --tries=60 --retry_pause_ms=200 --timeout_ms=4000 &
  local job=$!
  sleep 1
  kill -STOP "${PIDS[daemon1]}"
  sleep 6
  kill -CONT "${PIDS[daemon1]}"
  check "SIGSTOP of an owner past its lease: no request ran twice" wait $job
  check "no task in two places, no VM or team above its size" journal_holds
  all_ready
}

store_down() {
  control "$STORE" faults '{"mode":"down"}'
  sleep 6
  local answer
  answer=$(post 2 $LOOKUP /v1/services/finder/requests -d probe)
  check "store down 6 s: an idempotent request is served" grep -q ' 200 *$' <<<"$answer"
  answer=$(post 2 $LOOKUP /v1/services/finder/requests -H "Idempotency-Key: $(date +%s).down" \
    -H 'X-Non-Idempotent: true' -H 'X-Timeout-Ms: 3000' -d probe)
  check "store down: a non-idempotent request is not run" grep -q not_run <<<"$answer"
  answer=$(post 1 $BATCH /v1/jobs -d '{"kind":"batch","resources":{"processors":1},"payload":"{}"}')
  check "store down: a submission is not run" grep -q not_run <<<"$answer"
  control "$STORE" faults '{"mode":"ok"}'
  check "all daemons are ready after the outage" all_ready
  check "services answer after the outage" wait_for 40 service_answers 3
  check "nothing ran twice" journal_holds
}

restart_all_in_outage() {
  control "$STORE" faults '{"mode":"down"}'
  for i in 1 2 3; do kill_process daemon$i; done
  for i in 1 2 3; do start_daemon $i; done
  sleep 3
  check "no daemon is ready without the store" bash -c \
    "! curl -sf http://$(http_of 1)/readyz >/dev/null"
  control "$STORE" faults '{"mode":"ok"}'
  check "all daemons are ready after the outage" all_ready
  check "running services were taken over" wait_for 40 service_answers 1
  check "no task runs in two places" journal_holds
}

lost_answers() {
  control "$STORE" faults '{"mode":"lose_answer","probability":0.3,"seed":7,"writes_only":true}'
  check "store loses answers of writes: no request ran twice" \
    load "lost answers" --requests="$(requests 100)" --connections=24 --non_idempotent --tries=40 --retry_pause_ms=200
  control "$STORE" faults '{"mode":"slow","delay_ms":300}'
  check "slow store: no request ran twice" \
    load "slow store" --requests="$(requests 100)" --connections=24 --non_idempotent --tries=40 --retry_pause_ms=200
  control "$STORE" faults '{"mode":"ok"}'
  all_ready
}

operator_race() {
  local rounds=$((10 * scale)) round revision wins lost=0
  for who in a b; do
    mkdir -p "$RUN_DIR/$who"
    cp "$CONFIG/inventory.json" "$RUN_DIR/$who/"
  done
  for ((round = 1; round <= rounds; round++)); do
    revision=$(cli get --server="$(http_of 1)" 2>/dev/null | grep -oE 'revision"?:? *[0-9]+' | head -1 | grep -oE '[0-9]+')
    sed "s/\"share\":2.0/\"share\":$((round + 1)).25/" "$CONFIG/rules.json" >"$RUN_DIR/a/rules.json"
    sed "s/\"share\":2.0/\"share\":$((round + 1)).75/" "$CONFIG/rules.json" >"$RUN_DIR/b/rules.json"
    wins=0
    cli apply "$RUN_DIR/a" --server="$(http_of 1)" --base_revision="$revision" >"$RUN_DIR/a.out" 2>&1 &
    local first=$!
    if cli apply "$RUN_DIR/b" --server="$(http_of 2)" --base_revision="$revision" >"$RUN_DIR/b.out" 2>&1; then
      wins=$((wins + 1))
    fi
    if wait $first; then wins=$((wins + 1)); fi
    [ $wins -eq 1 ] || { lost=$((lost + 1)); note "round $round: $wins winners: $(cat "$RUN_DIR/a.out" "$RUN_DIR/b.out" | tr '\n' ' ')"; }
  done
  check "two operators race: exactly one wins in each of $rounds rounds" test $lost -eq 0
}

withdrawn_key() {
  local revision
  revision=$(cli get --server="$(http_of 1)" 2>/dev/null | grep -oE 'revision"?:? *[0-9]+' | head -1 | grep -oE '[0-9]+')
  mkdir -p "$RUN_DIR/withdrawn"
  sed '/"id":"demo-gang"/d' "$CONFIG/inventory.json" >"$RUN_DIR/withdrawn/inventory.json"
  cp "$CONFIG/rules.json" "$RUN_DIR/withdrawn/"
  kill -STOP "${PIDS[daemon3]}"
  sleep 6
  check "a change is accepted while an entry is frozen" \
    cli apply "$RUN_DIR/withdrawn" --server="$(http_of 1)" --base_revision="$revision"
  sleep 5
  local answer
  answer=$(post 1 $GANG /v1/jobs -d '{"kind":"batch","resources":{"processors":1},"payload":"{}"}')
  check "the withdrawn key is refused by a running entry" grep -q '401' <<<"$answer"
  kill -CONT "${PIDS[daemon3]}"
  answer=$(post 3 $GANG /v1/jobs -d '{"kind":"batch","resources":{"processors":1},"payload":"{}"}')
  check "the withdrawn key is refused by the entry that wakes" grep -q not_run <<<"$answer"
  note "told by the entry that woke: $answer"
  all_ready
}

leaving_vm() {
  control "$VM_LIST" vms "$(vm_json demo-a1)"
  sleep 5
  local since answer started
  since=$(curl -s "$WORKERS/control/journal?since=0" | grep -oE '"last":[0-9]+' | grep -oE '[0-9]+')
  answer=$(post 2 $BATCH '/v1/jobs?wait_ms=30000' -d '{"kind":"batch","tasks":40,
    "resources":{"processors":1},"payload":"{\"run_ms\":50}"}')
  check "work goes on while a VM leaves" grep -q '"outcome":"done"' <<<"$answer"
  started=$(curl -s "$WORKERS/control/journal?since=$since" |
    { grep -oE '"event":"started"[^}]*}[^}]*"vm":"demo-a1"' || true; } | wc -l)
  check "a leaving VM got no new work" test "$started" -eq 0
  check "requests go on while a VM leaves" load "leaving VM" --requests="$(requests 200)" --connections=8 --expect_done
  control "$VM_LIST" vms "$(vm_json none)"
}

rolling_replacement() {
  load "rolling replacement" --requests="$(requests 4000)" --connections=8 --work_ms=5 --tries=200 --retry_pause_ms=20 --expect_done &
  local job=$! i code
  for i in 1 2 3; do
    code=0
    stop_process daemon$i || code=$?
    check "daemon $i ends with exit code 0" test $code -eq 0
    start_daemon $i
    wait_for 40 daemon_ready $i
  done
  check "rolling replacement of all entries: every request was done" wait $job
  all_ready
}

cancel_wave() {
  local ids=() answer id i
  for i in 1 2; do
    answer=$(post $i $BATCH /v1/jobs -d '{"kind":"batch","tasks":10000,"resources":{"processors":1},"payload":"{\"run_ms\":60000}"}')
    ids+=("$(grep -oE '"job":"[^"]*"' <<<"$answer" | cut -d'"' -f4)")
  done
  sleep 2
  for id in "${ids[@]}"; do
    curl -s -m 60 -X DELETE "$(http_of 1)/v1/jobs/$id" -H "Authorization: Bearer $BATCH" >/dev/null &
  done
  answer=$(post 3 $GANG '/v1/jobs?wait_ms=20000' -d '{"kind":"batch","priority":"urgent","resources":{"processors":1},"payload":"{\"run_ms\":10}"}')
  check "urgent work of another team starts during 20,000 cancellations" grep -q '"outcome":"done"' <<<"$answer"
  local submitted started
  submitted=$(grep -oE '"submitted_unix_ms":[0-9]+' <<<"$answer" | grep -oE '[0-9]+' || echo 0)
  started=$(grep -oE '"started_unix_ms":[0-9]+' <<<"$answer" | grep -oE '[0-9]+' || echo 0)
  note "it started after $((started - submitted)) ms (bound of the requirements: 3,300 ms)"
  for id in "${ids[@]}"; do
    cancelled() { curl -s "$(http_of 2)/v1/jobs/$id" -H "Authorization: Bearer $BATCH" | grep -q '"outcome":"cancelled"'; }
    check "the wave is cancelled" wait_for 60 cancelled
  done
}

bad_worker() {
  control "$WORKERS" faults '{"vm":"demo-b1","mode":"fail_all"}'
  local i bad=0 answer
  for ((i = 0; i < 20; i++)); do
    answer=$(post 1 $BATCH '/v1/jobs?wait_ms=20000' -d '{"kind":"batch","resources":{"processors":2},"payload":"{\"run_ms\":20}"}')
    grep -q '"outcome":"done"' <<<"$answer" || bad=$((bad + 1))
  done
  note "$bad of 20 jobs failed on the worker that fails everything"
  check "a worker that fails everything is set aside after 3 jobs" test $bad -le 3
  control "$WORKERS" faults '{"vm":"demo-b1","mode":"ok"}'
}

never_and_gangs() {
  local answer
  answer=$(post 2 $BATCH /v1/jobs -d '{"kind":"batch","resources":{"processors":9},"payload":"{}"}')
  check "a job that can never run is told so" grep -qE 'never_fits|limit' <<<"$answer"
  note "$answer"
  # Each gang takes both VMs of a zone, so four gangs compete for three zones.
  local i waits=()
  for i in 1 2 3 4; do
    post $((i % 3 + 1)) $GANG '/v1/jobs?wait_ms=30000' -d '{"kind":"gang","tasks":2,
      "resources":{"processors":6},"payload":"{\"run_ms\":300}"}' >"$RUN_DIR/gang$i" &
    waits+=($!)
  done
  wait "${waits[@]}"
  local done_count
  done_count=$(cat "$RUN_DIR"/gang? | grep -o '"outcome":"done"' | wc -l)
  check "four gangs that each fit alone all end" test "$done_count" -eq 4
}

retry_storm() {
  load "alone" --requests="$(requests 300)" --connections=4 --work_ms=5
  local alone=$LAST
  "$LOAD" --targets="$TARGETS" --key=$BATCH --service=none --connections=60 \
    --requests="$(requests 3000)" --tries=20 >"$RUN_DIR/storm" &
  local storm=$!
  load "beside a storm" --requests="$(requests 300)" --connections=4 --work_ms=5
  check "a team is served beside a team that retries without pause" grep -q "\"done\":$(requests 300)" <<<"$LAST"
  wait $storm || true
  note "storm: $(cat "$RUN_DIR/storm")"
  note "alone: $alone"
}

scenarios=("$@")
if [ ${#scenarios[@]} -eq 0 ]; then
  scenarios=(never_and_gangs leaving_vm bad_worker retry_storm cancel_wave operator_race
    kill_entry lost_answers store_down rolling_replacement freeze_owner withdrawn_key
    restart_all_in_outage)
fi
start_cluster
for scenario in "${scenarios[@]}"; do
  printf '%s\n' "== $scenario"
  $scenario
done
echo "== end"
check "all invariants hold in the journal" journal_holds
curl -s "$STORE/control/counts" | sed 's/^/        store: /'
echo
echo "$passed passed, $failed failed; logs in $RUN_DIR"
stop_cluster
exit $((failed > 0))
