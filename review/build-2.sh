#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 2. They are Python files that need the
# standard library only, so that building them is compiling them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q tools_2 6 7 8 9 10
