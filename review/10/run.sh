#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] && [ -x target/release/daisyseam-platform-control ] || exit 2
target/review-2/case-10 review/10/record.txt
