#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
program="$here/../../target/review-3/12"
[ -x "$program" ] || { echo "not built: run review/build-3.sh"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec "$program" "$here"
