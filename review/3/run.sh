#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
python3 -B -c "import sys, tomllib; sys.path.insert(0, '..'); import standins" || exit 2
exec python3 -B run.py
