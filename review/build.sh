#!/bin/sh
# Builds what the scripts of the cases start. The stand-ins are plain modules of
# Node.js without packages, so there is nothing to build; this checks them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
