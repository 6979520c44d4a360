#!/bin/sh
# Builds the stand-ins of review/11 to review/15. They are plain modules without
# dependencies, in review/standins-3, so they are only checked here.
cd "$(dirname "$0")" || exit 1
for file in standins-3/*.mjs 1[1-5]/run.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
