#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -proc:none -d target/review -cp 'target/lib/*' review/standins/*.java
