#!/bin/sh
# The stand-ins are Python of the standard library: check that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
