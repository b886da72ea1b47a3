#!/usr/bin/env bash
# Runs the case. 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || exit 2
exec target/review-2/cases former-record review/7/record.txt
