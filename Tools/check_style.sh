#!/usr/bin/env bash
# Checks formatting, and runs the linter over all sources.
# Usage: Tools/check_style.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: Tools/check_style.sh BUILD_FOLDER}

git ls-files -z '*.cc' '*.h' | xargs -0 clang-format --dry-run -Werror
git ls-files -z '*.cc' |
  xargs -0 -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build" 2>/dev/null
