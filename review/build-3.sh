#!/bin/sh
# The stand-ins of cases 11 to 15 and the cases are Python programs: nothing is
# compiled. This checks that each can be read and that the stand-ins load.
cd "$(dirname "$0")" && exec python3 -B - <<'P'
import ast
import pathlib
import sys

for pattern in ("standins-3/*.py", "1[1-5]/case.py"):
    for path in sorted(pathlib.Path(".").glob(pattern)):
        ast.parse(path.read_text(), str(path))
sys.path.insert(0, "standins-3")
import drafts, lab, link  # noqa: E401,F401
P
