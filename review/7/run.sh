#!/usr/bin/env bash
# Exits with 1 if QUOTA was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 keeps the machines that the settings name as seeds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/tarragon-entry ] && [ -x build/review-2/quotacase ] || exit 2
build/review-2/quotacase review/7/record.txt
Status=$?
[ "$Status" -le 1 ] || exit 2
exit "$Status"
