#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start into target/review-3, after the build of the deploy file.
# Uses its library, and the project's stand-ins of the store and of replicas. No network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -Wno-psabi -pthread -DASIO_STANDALONE -DGALENAFOLD_VERSION='"review"' -I.)
mapfile -t libraries < <(pkg-config --cflags --libs capnp-rpc cpp-httplib inih libglog libxxhash zlib | xargs -n 1)
objects=()
for source in review/bed-3.cpp fakes/replica.cpp fakes/topicstore.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for source in review/1[1-5]/*.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" target/libgalenafold.a "${libraries[@]}" -lssl -lcrypto \
    -o "$out/case-$number" &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit "$status"
