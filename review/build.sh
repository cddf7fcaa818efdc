#!/usr/bin/env bash
# Checks what the scripts start besides the program of the deploy file: their
# stand-ins are Python programs that need no build and no package.
set -eu
cd "$(dirname "$0")"
python3 -B - standins/*.py */case.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
