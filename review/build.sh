#!/usr/bin/env bash
# Check that every stand-in of the scripts compiles; they need nothing but Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed, as for the deploy file's build")
for path in sorted(pathlib.Path().glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
PYTHON
