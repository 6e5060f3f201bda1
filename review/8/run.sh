#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/lupinknot-entry && -x target/review-2/case-8 ]] || { echo "build first: the deploy file's command, then review/build-2.sh" >&2; exit 2; }
export TROUBLE=${TROUBLE:-1}
exec target/review-2/case-8 review/8/record.txt
