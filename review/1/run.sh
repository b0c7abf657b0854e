#!/usr/bin/env bash
# Case 1: a job runs after its cancelling was acknowledged. Exit code 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/harness ] || [ ! -x target/sparnotch-platform ]; then
  echo "build the deploy file's program and run review/build.sh first" >&2
  exit 2
fi
exec timeout -k 2 118 review/bin/harness -case cancel -record review/1/record.txt
