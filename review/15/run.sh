#!/bin/sh
# A replica fails orders with 503 after it has run them.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disturbance.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab-3 ] && [ -x target/crocus-edge ] || { echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/lab-3 promise target/crocus-edge review/15/record.txt
