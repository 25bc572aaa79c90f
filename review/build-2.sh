#!/usr/bin/env bash
# Builds what the scripts of the cases 4 and 5 start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked \
    --manifest-path review/stand-ins-2/platform/Cargo.toml --target-dir target/review-2
