#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; the case's program reads it as well.
set -uo pipefail
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.."
[[ -x target/eelgrasslever-platformd && -x target/review-2/case-9 ]] || {
  echo "build the deploy file, then review/build-2.sh"
  exit 2
}
timeout -k 5 115 target/review-2/case-9 review/9/record.txt
code=$?
[[ $code -le 1 ]] || code=2
exit $code
