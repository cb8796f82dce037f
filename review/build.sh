#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules under review/lib and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
node --check review/lib/run.mjs
node --check review/lib/store.mjs
test -s target/primrosestage.mjs
