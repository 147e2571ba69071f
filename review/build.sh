#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, review/target/standin.
# The source is a test file, so that the checks of the product's source leave it alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../target
GOWORK=off GOFLAGS="-buildvcs=false" go test -c -o ../target/standin .
