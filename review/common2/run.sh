#!/bin/sh
# Run a case with the stand-ins beside this file: sh run.sh FOLDER
set -eu
here=$(cd "$(dirname "$0")" && pwd)
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here" exec python3 "$1/case.py" "$1"
