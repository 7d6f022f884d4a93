#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 python3 review/8/case.py
