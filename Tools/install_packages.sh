#!/usr/bin/env bash
# Installs the packages that the build and the tests need (Debian 12).
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy curl bc
  libcxxtools-dev libnghttp2-dev libevent-dev prometheus-cpp-dev libabsl-dev
  libfmt-dev libexpected-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev
  libssl-dev libgtest-dev libgmock-dev libbenchmark-dev spin
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if ((${#missing[@]} > 0)); then
  apt-get update -qq
  apt-get install -y --no-install-recommends "${missing[@]}"
fi
