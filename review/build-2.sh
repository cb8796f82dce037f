#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are plain modules of Node.js without dependencies,
# so that nothing has to be compiled; the build of the deploy file supplies the instances.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
[ -f ../target/primrosestage.mjs ] || {
  echo 'build the deploy file first: node platform/build.mjs' >&2
  exit 1
}
