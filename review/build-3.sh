#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for dir in review/1[1-5]; do
	if [ -f "$dir/main.go" ]; then
		go build -o "target/review-3/$(basename "$dir")" "./$dir"
	fi
done
