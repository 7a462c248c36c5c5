#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. They are Python programs of their own, so nothing is compiled into files:
# this checks that the interpreter is there and that it can read each of them. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/lib-2/*.py review/[4-8]/*.py <<'P'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    if "*" not in path:
        with open(path, encoding="utf-8") as f:
            ast.parse(f.read(), path)
P
