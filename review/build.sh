#!/bin/sh
# Builds the stand-ins of the review's scripts. It needs Go and no network, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/_cases
