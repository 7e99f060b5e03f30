#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-standins .
