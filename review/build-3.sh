#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/13 into target/review-3. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
