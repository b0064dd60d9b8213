#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into review/bin. Needs g++ and
# nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/*.cc; do
  program=bin/$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -o "$program" "$source" -pthread &
done
wait
for source in [1-5]/*.cc; do
  test -x "bin/$(basename "$source" .cc)"
done
