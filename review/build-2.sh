#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: store, cloud, workers, users and proxies in one program.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
go build -o ../../target/standins-2 .
