#!/bin/sh
# The stand-ins are Python programs; this only checks that they can be loaded.
cd "$(dirname "$0")" && exec python3 -B -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import standins.world, standins.clients, standins.servers, standins.store
'
