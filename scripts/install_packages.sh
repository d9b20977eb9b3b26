#!/usr/bin/env bash
# Installs those packages that the build, the tests and the linter need and that are
# missing, e.g. on a fresh machine.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy clang shellcheck
  libpistache-dev capnproto libcapnp-dev liblog4cplus-dev libboost1.81-dev
  libboost-test1.81-dev libcurl4-openssl-dev librapidcheck-dev libssl-dev
  nlohmann-json3-dev
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
