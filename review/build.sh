#!/usr/bin/env bash
# Builds the stand-ins of all scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
