#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be imported. They are Python, and use the
# libraries that the build of the deploy file installs, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.kit, standins._platform_store, standins._platform_http"
