#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules in review/lib-2; this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
node --check review/lib-2/harness.mjs
for file in review/{6,7,8,9,10}/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
