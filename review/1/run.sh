#!/usr/bin/env bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec timeout -k 5 115 python3 "$(dirname "$0")/case.py"
