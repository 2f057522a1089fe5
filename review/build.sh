#!/usr/bin/env bash
# Builds the stand-ins of the scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/cases review/src/*.go
