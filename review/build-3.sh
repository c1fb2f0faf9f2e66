#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start, after the build of the deploy file. No network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++17 -O1 -Wall -Wextra -DASIO_STANDALONE -DGALENAFOLD_VERSION=\"review\" -I."
libraries="target/libgalenafold.a $(pkg-config --libs capnp-rpc cpp-httplib inih libglog libxxhash) -lcrypto -lssl -lz"
for source in review/bed-3.cpp fakes/replica.cpp fakes/topicstore.cpp; do
  g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for case in review/1[1-5]/*.cpp; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ $flags "$case" "$out"/bed-3.o "$out"/replica.o "$out"/topicstore.o $libraries -lpthread -o "$out/case-$number"
done
