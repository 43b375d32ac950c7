#!/bin/sh
# Build what the scripts of cases 6 to 10 start beside the instances: their own
# stand-ins under common2/ are Python files without dependencies, so they are only checked.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
for file in "$here"/common2/*.py "$here"/[6-9]/case.py "$here"/10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
