#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: state service, cloud, workers, users and the links between
# controllers in one program. It needs nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/standins-2 .
