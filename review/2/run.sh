#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the case without its disruption; it is read here for the case.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
