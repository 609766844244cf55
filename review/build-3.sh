#!/usr/bin/env bash
# Compiles the stand-ins of the cases 11 to 15 into target/review-3. Needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standin-3/lab3/*.java
