#!/usr/bin/env bash
# Builds the stand-ins and the test driver of the review, without dependencies and without a
# network. The project's own programs are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name review_harness -o target/review/harness review/harness/main.rs
