#!/bin/sh
# The stand-ins of the scripts are Python files, which need no build. This checks that they can be read.
cd "$(dirname "$0")" && python3 -B - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for name in sorted(glob.glob("common/*.py") + glob.glob("[0-9]/*.py")):
    with open(name) as file:
        ast.parse(file.read(), name)
    print(name)
PY
