#!/bin/sh
# Builds the stand-ins that the cases start. They are Python scripts of the standard library, so they are only checked.
set -eu
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
