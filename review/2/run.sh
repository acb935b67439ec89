#!/usr/bin/env bash
# Plays the case and writes what happened to record.txt. Exit code: 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it plays it without its disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab ] && [ -x target/entryhost ] || exit 2
export REVIEW_CASE=upload REVIEW_RECORD="$PWD/review/2/record.txt"
exec target/review-lab
