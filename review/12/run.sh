#!/bin/sh
# The instance is killed while it passes on answers without a length.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disturbance.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab-3 ] && [ -x target/crocus-edge ] || { echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/lab-3 unframed target/crocus-edge review/12/record.txt
