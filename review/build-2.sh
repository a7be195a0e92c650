#!/usr/bin/env bash
# Builds the stand-in of the second review: store, servers, consumers and platform.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
go build -o ../../target/review-stand-2 .
