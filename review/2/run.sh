#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
PYTHONPATH=target/deps:.
export TROUBLE PYTHONPATH
python3 -c 'from review import standins' || exit 2
exec python3 review/2/case.py
