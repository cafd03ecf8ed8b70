#!/usr/bin/env bash
# Runs the case once, for about 20 seconds: exit status 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves out the disruption. Needs review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-harness stop review/3/record.txt
