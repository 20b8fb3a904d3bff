#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/bramleydeal ] && [ -x target/review-2 ] || { echo "build the deploy file and run review/build-2.sh first"; exit 2; }
exec target/review-2 public-route target/bramleydeal "$here/record.txt"
