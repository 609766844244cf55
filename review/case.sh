#!/usr/bin/env bash
# Runs one case: review/case.sh FOLDER CLASS. Exit code 0: the rule held; 1: it was broken; 2: the
# case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -d target/review ] || [ ! -f target/peridotroute-edge.jar ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review "review.$2" "$folder/record.txt"
