#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; case.py reads it.
cd "$(dirname "$0")" && PYTHONPATH=../standins-2 exec timeout 115 python3 -B case.py
