#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread -I. -c review/bed-2.cpp -o target/review-2/bed.o
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I. "$case" target/review-2/bed.o -o "target/review-2/case-$number"
done
