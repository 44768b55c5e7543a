#!/usr/bin/env bash
# Runs a case five times with the disruption and once without it, and prints the exit codes.
set -u
cd "$(dirname "$0")"
for n in "$@"; do
	codes=""
	for _ in 1 2 3 4 5; do
		"$n/run.sh" >/dev/null 2>&1
		codes="$codes $?"
	done
	TROUBLE=0 "$n/run.sh" >/dev/null 2>&1
	echo "case $n: exit codes$codes; with TROUBLE=0: $?"
done
