#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galenafoldd ] && [ -x target/review-2/case-9 ] || exit 2
exec timeout --signal=KILL 115 target/review-2/case-9
