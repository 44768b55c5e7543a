#!/bin/bash
# Builds the program that the scripts of review/6 to review/10 start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
