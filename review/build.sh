#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs only a JDK 17; run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -Xlint:all,-serial -d target/review review/standin/review/*.java
