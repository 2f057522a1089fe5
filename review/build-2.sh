#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: the store, workers and clients. It needs Go alone.
set -euo pipefail
cd "$(dirname "$0")/src-2"
GOWORK=off CGO_ENABLED=0 go build -o bin/review2 .
