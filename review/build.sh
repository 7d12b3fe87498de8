#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/harness
