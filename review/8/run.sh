#!/bin/bash
# A job whose DELETE was answered 410 is run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-lab -dir review/8 -node target/skylark-node withdrawn
