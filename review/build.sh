#!/bin/sh
# The stand-ins of the cases use the standard library alone; compiling them finds
# a Python that is too old before the first case is run.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
PYTHONPYCACHEPREFIX=../target/review python3 -m compileall -q common ./*/case.py
