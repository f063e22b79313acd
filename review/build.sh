#!/bin/sh
# Builds the stand-ins of the review: Python programs, which only have to compile.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
