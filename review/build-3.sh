#!/bin/bash
# Builds what the scripts of the third review start beside the program itself.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/stand
