#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the programs of the deploy file: their
# clients and the stand-ins of the platform and the workers, in target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/harness-3
