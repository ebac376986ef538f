#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the instances: stand-ins for the
# platform's store, for replicas, for stores of kept context and for callers, all in one program.
# It needs no network. The instances themselves are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/lab-3"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=readonly go build -o ../../target/lab-3 .
