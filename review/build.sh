#!/usr/bin/env bash
# Builds the programs of the cases, with the project's stand-ins, in build-review/. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-review
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF >/dev/null
cmake --build "$build" -j8 --target galenafold_fakes
flags=(-std=c++17 -O2 -Wall -Wextra -Wno-psabi -pthread -DASIO_STANDALONE -I.)
libraries=(cpp-httplib inih libglog libxxhash capnp-rpc libcrypto libssl)
mapfile -t found < <(pkg-config --cflags --libs "${libraries[@]}" | xargs -n 1)
for source in review/[1-5]/*.cpp; do
  case_number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" review/testbed.cpp -o "$build/case-$case_number" \
    "$build/libgalenafold_fakes.a" "$build/libgalenafold.a" "${found[@]}" &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit "$status"
