#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: checks that every module compiles.
# The programs themselves are built by the line `build` of the deploy file.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPYCACHEPREFIX="$(mktemp -d)" || exit 1
export PYTHONPYCACHEPREFIX
python3 -m py_compile review/standins-3/*.py review/1[1-5]/*.py
code=$?
rm -rf "$PYTHONPYCACHEPREFIX"
exit "$code"
