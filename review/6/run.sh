#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0 leaves the disruption out; the rest is the same, and the rule must hold.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2 6
