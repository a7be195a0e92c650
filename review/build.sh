#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../../target/reviewstand .
