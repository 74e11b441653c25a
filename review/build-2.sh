#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python files that need the standard
# library only, so that it is enough to compile them; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit_2.py 7/engine.py {6,7,8,9,10}/case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
