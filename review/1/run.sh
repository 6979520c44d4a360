#!/bin/sh
# Plays the case; see claim.txt. Exit 1: the rule was broken, 0: it held, 2: it
# couldn't run. What was sent, answered and run is written to record.txt here.
cd "$(dirname "$0")" || exit 2
exec node case.mjs "$PWD/record.txt"
