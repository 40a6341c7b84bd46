#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 case.py
status=$?
[ -s record.txt ] || exit 2
exit "$status"
