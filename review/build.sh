#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules of the standard library
# only, so that they are just compiled, to find errors before a script runs.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q -f standins 1 2 3
