#!/usr/bin/env bash
# Runs one case. Usage: review/run_case.sh FOLDER PROGRAM
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.."
daemon=target/platform/mustardslip-platformd
program=review/bin/$2
if [[ ! -x $daemon || ! -x $program ]]; then
  echo "build with the command of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
timeout -k 2 118 "$program" "$daemon" "review/$1/record.txt"
status=$?
[[ $status -le 1 ]] || status=2
exit "$status"
