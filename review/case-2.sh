#!/bin/bash
# Runs a case after the build of the deploy file and review/build-2.sh.
# Usage: review/case-2.sh FOLDER CLASS [HEAP]
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/peridotroute-edge.jar ] || [ ! -f "target/review-2/lab/$2.class" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
exec java -Xmx"${3:-192m}" -XX:+UseSerialGC -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp target/review-2 "lab.$2" "$1"
