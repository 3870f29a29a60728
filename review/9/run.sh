#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: could not run. What happened is in record.txt beside this.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:src:testing exec timeout -k 5 118 python3 review/9/case.py
