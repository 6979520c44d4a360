#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. What was seen goes to record.txt.
cd "$(dirname "$0")" || exit 2
timeout 115 node run.mjs
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
