#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/platform/Cargo.toml --target-dir target/review
cargo build --release --locked --manifest-path review/unsynced-log/Cargo.toml --target-dir target/review
