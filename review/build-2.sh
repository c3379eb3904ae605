#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are Python programs that use the standard library only, so there is
# nothing to link: this checks that the interpreter is there and that each file compiles.
set -eu
cd "$(dirname "$0")"
python3 - support-2/standin.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'END'
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
