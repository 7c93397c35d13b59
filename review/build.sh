#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases into target/review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/harness
