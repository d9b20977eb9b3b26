#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start, among them the project's own
# stand-in for the store. Needs the build of the deploy file in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
read -r -a flags <<<"$(pkg-config --cflags --libs libpistache libcurl libcrypto)"
g++ -std=c++20 -O1 -o "$out/scene.new" \
  -Ireview/standin-3 -Iplatform/tests/standin -Itests/system \
  -Ilibs/http/include -Ilibs/base/include -Ilibs/json/include \
  review/standin-3/*.cpp platform/tests/standin/store_standin.cc \
  tests/system/child_process.cc \
  target/libs/http/libhttp.a target/libs/base/libbase.a target/libs/json/libjson.a \
  "${flags[@]}" -llog4cplus -lpthread
mv "$out/scene.new" "$out/scene"
