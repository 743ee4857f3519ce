#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15, which are Python and need no build: review/standins-3/deployment.py, with the standard library of Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in standins-3/deployment.py 1[1-5]/case.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
