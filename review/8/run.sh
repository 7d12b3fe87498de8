#!/usr/bin/env bash
# A connection to the store falls silent while runners of a new software version come.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand2 ] && [ -x target/clementinerack-entry ] || exit 2
exec target/review-2/stand2 -case silent-watch -record review/8/record.txt -entry target/clementinerack-entry
