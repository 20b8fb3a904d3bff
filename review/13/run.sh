#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bramleydeal ] || [ ! -x target/review-3 ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
exec target/review-3 13 review/13
