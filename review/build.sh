#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; the project's programs come from the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != kit ] && [ "$name" != worker ]; then
        rustc --edition 2021 -O "$source" -o "target/review/$name"
    fi
done
