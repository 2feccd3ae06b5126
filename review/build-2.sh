#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8: Python, of the standard library only, that needs
# no step but a check that this interpreter can read it. It writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import pathlib, sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for pattern in ("standins-2/*.py", "[4-8]/*.py"):
    for path in sorted(pathlib.Path(".").glob(pattern)):
        compile(path.read_text(), str(path), "exec")
CHECK
