#!/usr/bin/env bash
# See claim.txt. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] || exit 2
RECORD=review/15/record.txt exec timeout 115 target/review-3/case-15
