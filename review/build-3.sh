#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use only the standard library of
# Python, so nothing is fetched: this compiles them, and fails if one cannot be used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -m py_compile kit_3.py cold_3.py 1[1-5]/*.py
