#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into target/review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -buildvcs=false -o ../target/review/ ./cmd/...
