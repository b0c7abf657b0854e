#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The deploy file's build must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:/usr/local/go/bin"
go build -o target/review-2 ./review/second/platform
