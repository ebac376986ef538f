#!/bin/sh
# Prompts of 36 parts, of which one crashes each replica that answers on it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disturbance. PARTS=8 puts eight parts before the one that crashes replicas, not 34.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab-3 ] && [ -x target/crocus-edge ] || { echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/lab-3 crash target/crocus-edge review/14/record.txt
