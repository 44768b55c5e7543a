#!/bin/bash
# A zone is lost; jobs that had begun in its shard are never ended. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-lab -dir review/6 -node target/skylark-node zone
