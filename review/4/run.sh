#!/bin/sh
# Plays the case; see claim.txt. Exit 1: the rule was broken, 0: it held, 2: it
# couldn't run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
