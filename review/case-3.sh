#!/usr/bin/env bash
# Runs one case: review/case-3.sh FOLDER CLASS. Used by the run.sh of each case.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -d target/review-3 ] || [ ! -f target/peridotroute-edge.jar ]; then
  echo "build first: the build command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review-3 "lab3.$2" "$folder" "${TROUBLE:-1}"
