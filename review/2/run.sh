#!/bin/sh
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -B case.py
