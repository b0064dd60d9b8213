#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the cases 6 to 9 into
# review/6/bin, from these folders and the project's HTTP library.
# Needs g++ and the Debian packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/6/bin
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -ISource/Core)
sources=(Source/Core/transport/event_http.cc Source/Core/transport/traffic_meter.cc
  Source/Core/transport/http_client.cc
  Source/Core/common/logger.cc Source/Core/common/result.cc)
jobs=()
for source in "${sources[@]}"; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
  jobs+=($!)
done
for source in review/[6-9]/*.cc; do
  g++ "${flags[@]}" -c "$source" \
    -o "$out/case_$(basename "$source" .cc).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
shared=()
for source in "${sources[@]}"; do
  shared+=("$out/$(basename "$source" .cc).o")
done
for source in review/[6-9]/*.cc; do
  name=$(basename "$source" .cc)
  g++ -o "$out/$name" "$out/case_$name.o" "${shared[@]}" -levent_core \
    -levent_extra -lcxxtools-http -lcxxtools -labsl_strings \
    -labsl_strings_internal -labsl_base -labsl_raw_logging_internal \
    -labsl_throw_delegate -lfmt -lpthread
done
