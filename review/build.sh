#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies, so there is nothing to build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
