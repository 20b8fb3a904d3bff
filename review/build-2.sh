#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the programs of the deploy file: their
# clients and the stand-ins of the platform and the workers, in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/harness-2
