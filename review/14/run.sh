#!/usr/bin/env bash
# Case 14. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-3/fleet-3" ] || { echo "review/build-3.sh has not been run"; exit 2; }
cd "$root" || exit 2
exec "$root/target/review-3/fleet-3" 14 "$root" "${RECORD:-$here/record.txt}"
