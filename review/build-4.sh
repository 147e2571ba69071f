#!/usr/bin/env bash
# Builds the stand-in of the cases from review/15 on. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-4"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-standin-4 .
