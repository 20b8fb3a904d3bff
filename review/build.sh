#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The programs of the project are built by the line
# in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/harness ./review/harness
