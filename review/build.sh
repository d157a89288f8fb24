#!/usr/bin/env bash
# Builds the stand-ins of the cases; the programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[1-5]/; do
  name=$(basename "$dir")
  if [ -f "$dir/main.go" ]; then
    go build -o "target/review/$name" "./review/$name"
  fi
done
