#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the disruption doesn't come. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] || exit 2
exec target/review-2/rig -case cancel -record review/8/record.txt
