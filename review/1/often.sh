#!/usr/bin/env bash
# The same fault with a timed job that each worker can run, after some thousand occurrences.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")"
root=../..
for program in skylark-node review-cases; do
	[ -x "$root/target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
exec "$root/target/review-cases" often "$root/target/skylark-node" .
