#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, which use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
  case=$(basename "$source" .rs)
  # The part that the others share.
  if [ "$case" != kit ]; then
    rustc --edition 2024 -O "$source" -o "target/review-2/$case"
  fi
done
