#!/usr/bin/env bash
# Builds the programs of the cases of the third review. The build of the deploy file has to
# run before.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 11 13 14 15; do
  go build -ldflags=-linkmode=external -o "target/review-$n" "./review/$n"
done
