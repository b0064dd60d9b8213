#!/usr/bin/env bash
# Plays the seeds of platform/soak/seeds.txt, then fresh ones.
# Usage: Tools/soak.sh [RUNS [SECONDS]]   (fresh runs, time of each; 20, 15)
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-20}"
seconds="${2:-15}"
soak=(build/platform/mustardslip-soak
  --daemon=build/platform/mustardslip-platformd)
failed=0

while read -r seed time _; do
  "${soak[@]}" --seed="$seed" --seconds="$time" || failed=1
done < <(grep -v '^#' platform/soak/seeds.txt)
"${soak[@]}" --seed="$(date +%s)" --runs="$runs" --seconds="$seconds" || failed=1
# Seeds that failed with late calls before calls were fenced by incarnation, then
# fresh ones.
for seed in 100 101 102 200 402 "$(date +%s)"; do
  "${soak[@]}" --seed="$seed" --seconds=20 --late_calls --advised_share=1 ||
    failed=1
done
# Queues that move between two services.
"${soak[@]}" --seed="$(date +%s)" --runs=6 --seconds="$seconds" --queue_moves ||
  failed=1
exit "$failed"
