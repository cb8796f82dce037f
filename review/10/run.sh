#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/primrosestage.mjs ] || exit 2
rm -f record.txt
node case.mjs
status=$?
if [ "$status" = 1 ] && ! grep -q 'the rule was broken' record.txt; then exit 2; fi
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
