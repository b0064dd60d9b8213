#!/usr/bin/env bash
# Checks the specification in Spec/ over its whole bounded state space.
# Usage: Tools/model_check.sh [--mutants]
#   --mutants  also removes one guard at a time, and fails unless each removal
#              leads to a violation of a property.
# Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly SPEC=$PWD/Spec
readonly MEMORY_MB=3000
readonly DEPTH=1000000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify FILE OPTIONS...: leaves the verifier's output in $work/output.
verify() {
  local file=$1
  shift
  (
    cd "$work"
    spin -a "$@" "$SPEC/$file" >spin.log
    gcc -w -O2 -DSAFETY -DCOLLAPSE "-DMEMLIM=$MEMORY_MB" -o pan pan.c
    ./pan "-m$DEPTH" -E >output
  )
}

states() {
  sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$work/output"
}

# check PROPERTIES FILE OPTIONS...: the properties have to hold.
check() {
  local properties=$1
  shift
  verify "$@"
  # The search has to be complete: no error, and no limit reached.
  if ! grep -q 'errors: 0' "$work/output" ||
    grep -qE 'out of memory|max search depth too small|not completed' \
      "$work/output"; then
    echo "FAILED: $* ($properties)"
    cat "$work/output"
    exit 1
  fi
  for property in $properties; do
    printf '%-15s holds     %9s states  %s\n' "$property" "$(states)" "$*"
  done
}

# mutant GUARD FILE OPTIONS...: a property has to be violated.
mutant() {
  local guard=$1
  shift
  verify "$@" "-DWITHOUT_$guard"
  if ! grep -q 'assertion violated' "$work/output"; then
    echo "FAILED: no violation without $guard: $*"
    exit 1
  fi
  printf '%-24s violated  %s\n' "without $guard" "$*"
}

check 'one_owner at_most_once not_run_try not_run_key' mustardslip.pml
check 'capacity one_place limit' placement.pml -DLIMIT=1 -DRETRIES=1
check 'capacity one_place limit' placement.pml -DLIMIT=2 -DRETRIES=0
check 'all_or_nothing' gang.pml
check 'in_force never_lower' configuration.pml

if [[ ${1:-} == --mutants ]]; then
  for guard in READ_BACK READ_BACK_RECORD VERSION_CHECK \
    RECORD_BEFORE_DISPATCH SEAL NO_RERUN ATTACH; do
    mutant "$guard" mustardslip.pml
  done
  for guard in EPOCH_CHECK TAKEOVER_FENCE TEAM_EPOCH_CHECK \
    UNKNOWN_COUNTS_AS_TAKEN OPEN_PLACE_IS_CHARGED CHARGE_BEFORE_SEND; do
    mutant "$guard" placement.pml -DLIMIT=1 -DRETRIES=1
  done
  mutant CHARGE_BEFORE_SEND placement.pml -DLIMIT=1 -DRETRIES=1 -DONLY_LIMIT
  mutant UNKNOWN_COUNTS_AS_TAKEN \
    placement.pml -DLIMIT=1 -DRETRIES=1 -DONLY_LIMIT
  for guard in WRITE_BEFORE_READ WRITE_BEFORE_READ_TEAM; do
    mutant "$guard" placement.pml -DLIMIT=2 -DRETRIES=0
  done
  for guard in EPOCH_CHECK RELEASE_AFTER_ALL_HELD STOP_PARTIAL_GANG; do
    mutant "$guard" gang.pml
  done
  for guard in REVISION_CHECK FRESHNESS_CHECK FRESHNESS_AT_SEND \
    PEER_REVISION ROSTER_ACK READ_BEFORE_READY; do
    mutant "$guard" configuration.pml
  done
fi
