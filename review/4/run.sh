#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
RECORD=$PWD/record.txt
REPOSITORY=$(cd ../.. && pwd)
export RECORD REPOSITORY
"$REPOSITORY/target/review/case-$(basename "$PWD")"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
