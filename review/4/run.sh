#!/usr/bin/env bash
# One worker of twelve fails all that it starts while jobs with a gang come.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")"
root=../..
for program in skylark-node review-cases; do
	[ -x "$root/target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
exec "$root/target/review-cases" gang "$root/target/skylark-node" .
