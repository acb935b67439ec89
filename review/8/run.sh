#!/usr/bin/env bash
# Plays the case against the program of the deploy file. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab-3 ] && [ -x target/entryhost ] || exit 2
exec target/review-lab-3 departure review/8/record.txt
