#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/stage take-up review/10/record.txt &
stage=$!
trap 'pkill -P "$stage"; kill "$stage"; exit 2' INT TERM
wait "$stage"
