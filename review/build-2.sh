#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of this review start, into target/review-2/.
# They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/lab"
GOWORK=off GOFLAGS="${GOFLAGS:-} -mod=mod" go build -o ../../target/review-2/lab .
