#!/usr/bin/env bash
# Check the stand-ins that the scripts start. They are plain Python with the standard
# library only, so that nothing is installed.
set -eu
cd "$(dirname "$0")"
python3 -B - standins.py */run.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
    print("compiled", name)
END
