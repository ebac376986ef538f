#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case ] && [ -x target/crocus-edge ] || exit 2
exec review/bin/case leaving review/5/record.txt
