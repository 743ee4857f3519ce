#!/usr/bin/env bash
# The stand-ins are Python programs that need only the standard library; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
python3 -c 'import asyncio, tomllib'
