#!/bin/sh
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
