#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python scripts of this folder; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
