#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

Tools/install_packages.sh
cmake -S . -B build -G Ninja
cmake --build build
ctest --test-dir build --output-on-failure -j 4
